#ifndef REDWINGDOCK_LOAD_PLOT_H
#define REDWINGDOCK_LOAD_PLOT_H

#include "load/report.h"

// Plots latency and outcomes per second as SVG, with a vertical line at each event.
//
//   WriteFile("steady.svg", ToSvg(report, baseline));

namespace redwingdock::load {

// Returns an SVG document. The p99 of the baseline, if given, is drawn as a dashed line.
std::string ToSvg(const load_report& aReport, const std::optional<load_report>& aBaseline);

} // namespace redwingdock::load

#endif
