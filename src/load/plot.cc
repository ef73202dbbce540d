#include "load/plot.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace redwingdock::load {

namespace {

// All sizes in pixels.
constexpr double kWidth = 960;
constexpr double kLeftMargin = 70;
constexpr double kRightMargin = 20;
constexpr double kPanelHeight = 200;
constexpr double kPanelGap = 50;
constexpr double kLabelHeight = 14;

// Maps seconds and values to pixel coordinates in one panel.
struct panel_scale
{
  double mSeconds = 1;
  double mTop = 0;
  double mMin = 0;
  double mMax = 1;
  bool mLogarithmic = false;

  double X(double aSecond) const
  {
    return kLeftMargin + (kWidth - kLeftMargin - kRightMargin) * aSecond / mSeconds;
  }
  double Y(double aValue) const
  {
    double low = mLogarithmic ? std::log10(mMin) : mMin;
    double high = mLogarithmic ? std::log10(mMax) : mMax;
    double value = mLogarithmic ? std::log10(std::max(aValue, mMin)) : aValue;
    return mTop + kPanelHeight * (1 - (value - low) / (high - low));
  }
};

std::string Escape(const std::string& aText)
{
  std::string escaped;
  for (char each : aText) {
    switch (each) {
      case '<':
        escaped += "&lt;";
        break;
      case '&':
        escaped += "&amp;";
        break;
      default:
        escaped += each;
    }
  }
  return escaped;
}

class svg_writer
{
public:
  void Line(double aX1, double aY1, double aX2, double aY2, const char* aStyle)
  {
    mOut << "<line x1='" << aX1 << "' y1='" << aY1 << "' x2='" << aX2 << "' y2='" << aY2 << "' "
         << aStyle << "/>\n";
  }

  void Text(double aX, double aY, const std::string& aText, const char* aStyle = "")
  {
    mOut << "<text x='" << aX << "' y='" << aY << "' " << aStyle << ">" << Escape(aText)
         << "</text>\n";
  }

  void Bar(double aX, double aY, double aWidth, double aHeight, const char* aColor)
  {
    mOut << "<rect x='" << aX << "' y='" << aY << "' width='" << aWidth << "' height='" << aHeight
         << "' fill='" << aColor << "'/>\n";
  }

  // Draws one point in the middle of each second. Seconds without answers interrupt the line.
  void Curve(const panel_scale& aScale,
             const std::vector<group_summary>& aSeconds,
             double latency_quantiles::*aValue,
             const char* aStyle)
  {
    mOut << "<path fill='none' " << aStyle << " d='";
    bool drawing = false;
    for (std::size_t second = 0; second < aSeconds.size(); ++second) {
      double value = aSeconds[second].mLatency.*aValue;
      if (value > 0) {
        mOut << (drawing ? "L" : "M") << aScale.X(static_cast<double>(second) + 0.5) << " "
             << aScale.Y(value) << " ";
      }
      drawing = value > 0;
    }
    mOut << "'/>\n";
  }

  std::string Finish(double aHeight) const
  {
    std::ostringstream text;
    text << "<svg xmlns='http://www.w3.org/2000/svg' width='" << kWidth << "' height='" << aHeight
         << "' font-family='sans-serif' font-size='11'>\n"
         << "<rect width='100%' height='100%' fill='white'/>\n"
         << mOut.str() << "</svg>\n";
    return text.str();
  }

private:
  std::ostringstream mOut;
};

constexpr char kGridLine[] = "stroke='#cccccc'";
constexpr char kAlignRight[] = "text-anchor='end'";

std::string Number(double aValue)
{
  std::ostringstream text;
  text << aValue;
  return text.str();
}

// Rounds up to 1, 2 or 5 times a power of ten.
double RoundUpToTick(double aValue)
{
  double power = std::pow(10, std::floor(std::log10(std::max(aValue, 1e-9))));
  for (double step : { 1.0, 2.0, 5.0 }) {
    if (step * power >= aValue) {
      return step * power;
    }
  }
  return 10 * power;
}

panel_scale DrawLatency(svg_writer& aOut,
                        const load_report& aReport,
                        const std::optional<load_report>& aBase,
                        double aTop)
{
  double low = 1e9;
  double high = 1;
  for (const group_summary& each : aReport.mSeconds) {
    high = std::max(high, each.mLatency.mP99);
    low = each.mLatency.mP50 > 0 ? std::min(low, each.mLatency.mP50) : low;
  }
  if (aBase) {
    for (const group_summary& each : aBase->mSeconds) {
      high = std::max(high, each.mLatency.mP99);
    }
  }
  panel_scale panel{ .mSeconds = std::max<double>(1, static_cast<double>(aReport.mSeconds.size())),
                     .mTop = aTop,
                     .mMin = std::pow(10, std::floor(std::log10(std::min(low, high / 10)))),
                     .mMax = RoundUpToTick(high),
                     .mLogarithmic = true };
  for (double power = panel.mMin; power <= panel.mMax * 1.001; power *= 10) {
    for (double step : { 1.0, 2.0, 5.0 }) {
      double value = power * step;
      if (value <= panel.mMax * 1.001) {
        aOut.Line(kLeftMargin, panel.Y(value), kWidth - kRightMargin, panel.Y(value), kGridLine);
        aOut.Text(kLeftMargin - 6, panel.Y(value) + 4, Number(value), kAlignRight);
      }
    }
  }
  aOut.Text(kLeftMargin, aTop - 6, "latency per second, ms (log scale): p50", "fill='#1f77b4'");
  aOut.Text(kLeftMargin + 220, aTop - 6, "p99", "fill='#d62728'");
  aOut.Curve(
    panel, aReport.mSeconds, &latency_quantiles::mP50, "stroke='#1f77b4' stroke-width='2'");
  aOut.Curve(
    panel, aReport.mSeconds, &latency_quantiles::mP99, "stroke='#d62728' stroke-width='2'");
  if (aBase) {
    aOut.Text(kLeftMargin + 260,
              aTop - 6,
              "p99 of " + aBase->mName + " (baseline, dashed)",
              "fill='#777777'");
    aOut.Curve(panel,
               aBase->mSeconds,
               &latency_quantiles::mP99,
               "stroke='#777777' stroke-width='2' stroke-dasharray='6 4'");
  }
  return panel;
}

void DrawOutcomes(svg_writer& aOut, const load_report& aReport, double aTop)
{
  struct outcome_series
  {
    const char* mName;
    const char* mColor;
    std::uint64_t group_summary::*mCount;
  };
  static constexpr outcome_series kSeries[] = {
    { "complete", "#2ca02c", &group_summary::mComplete },
    { "partial", "#ff9f1c", &group_summary::mPartial },
    { "not_run", "#777777", &group_summary::mNotRun },
    { "unknown", "#d62728", &group_summary::mUnknown },
    { "rejected", "#9467bd", &group_summary::mRejected }
  };
  double maxCalls = 1;
  for (const group_summary& each : aReport.mSeconds) {
    maxCalls = std::max(maxCalls, static_cast<double>(each.mCalls));
  }
  panel_scale panel{ .mSeconds = std::max<double>(1, static_cast<double>(aReport.mSeconds.size())),
                     .mTop = aTop,
                     .mMax = RoundUpToTick(maxCalls) };
  for (int step = 0; step <= 4; ++step) {
    double value = panel.mMax * step / 4;
    aOut.Line(kLeftMargin, panel.Y(value), kWidth - kRightMargin, panel.Y(value), kGridLine);
    aOut.Text(kLeftMargin - 6, panel.Y(value) + 4, Number(value), kAlignRight);
  }
  aOut.Text(kLeftMargin, aTop - 6, "calls per second:");
  double x = kLeftMargin + 100;
  for (const outcome_series& each : kSeries) {
    aOut.Bar(x, aTop - 15, 10, 10, each.mColor);
    aOut.Text(x + 14, aTop - 6, each.mName);
    x += 85;
  }
  double width = panel.X(1) - panel.X(0);
  for (std::size_t second = 0; second < aReport.mSeconds.size(); ++second) {
    std::uint64_t below = 0;
    for (const outcome_series& each : kSeries) {
      std::uint64_t count = aReport.mSeconds[second].*each.mCount;
      double top = panel.Y(static_cast<double>(below + count));
      if (count != 0) {
        aOut.Bar(panel.X(static_cast<double>(second)) + width * 0.05,
                 top,
                 width * 0.9,
                 panel.Y(static_cast<double>(below)) - top,
                 each.mColor);
      }
      below += count;
    }
  }
  std::size_t every = std::max<std::size_t>(1, aReport.mSeconds.size() / 15);
  for (std::size_t second = 0; second <= aReport.mSeconds.size(); second += every) {
    aOut.Text(panel.X(static_cast<double>(second)),
              aTop + kPanelHeight + 16,
              std::to_string(second) + " s",
              "text-anchor='middle'");
  }
}

} // namespace

std::string ToSvg(const load_report& aReport, const std::optional<load_report>& aBaseline)
{
  svg_writer out;
  double labels = kLabelHeight * static_cast<double>(aReport.mEvents.size());
  double top = 50 + labels + 20;
  double second = top + kPanelHeight + kPanelGap;
  double bottom = second + kPanelHeight;
  out.Text(kLeftMargin,
           24,
           aReport.mName + ": " + std::to_string(aReport.mTotal.mCalls) + " calls, p99 " +
             Number(std::round(aReport.mTotal.mLatency.mP99 * 10) / 10) + " ms, coverage " +
             Number(std::round(aReport.mTotal.mCoverage * 1e5) / 1e3) + "%, in time " +
             Number(std::round(aReport.mInTimeShare * 1e5) / 1e3) + "%",
           "font-size='16' font-weight='bold'");
  panel_scale panel = DrawLatency(out, aReport, aBaseline, top);
  DrawOutcomes(out, aReport, second);
  double y = 50;
  for (const auto& [at, label] : aReport.mEvents) {
    double x = panel.X(static_cast<double>(at.count()) / 1e6);
    bool right = x > kWidth * 0.7;
    out.Line(x, y - 4, x, bottom, "stroke='#333333' stroke-dasharray='2 3'");
    out.Text(right ? x - 4 : x + 4, y, label, right ? kAlignRight : "");
    y += kLabelHeight;
  }
  return out.Finish(bottom + 30);
}

} // namespace redwingdock::load
