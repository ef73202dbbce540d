#ifndef REDWINGDOCK_LOAD_PLOT_H
#define REDWINGDOCK_LOAD_PLOT_H

#include "load/report.h"

// An SVG with latency and outcomes per second and a mark for each event.
//
//   WriteFile("steady.svg", ToSvg(report, baseline));

namespace redwingdock::load {

// The p99 of the baseline is drawn as a dashed line.
std::string ToSvg(const load_report& aReport, const std::optional<load_report>& aBaseline);

} // namespace redwingdock::load

#endif
