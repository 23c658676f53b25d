// Draws a chart from the logs of a cell's daemons: waiting jobs, runs, refusals, completions and incidents over time.
// Usage: daychart LOG... > day.svg
#include "request/day_series.h"

#include <plot.h>

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <string>

namespace {

using namespace sesamespar;

constexpr int exitUsage = 2;
/// Size of the page, with the aspect ratio of `width` and `height`.
constexpr const char *pageSize = "a4,xsize=24cm,ysize=14cm";
constexpr double width = 1200;
constexpr double height = 700;
constexpr double leftEdge = 70;
constexpr double bottomEdge = 160;
constexpr double topEdge = 640;
constexpr double fontSize = 12;

/// One curve of the chart.
struct curve {
    const char *name;
    const char *colour;
    double (*value)(const day_second &entry);
};

constexpr curve curves[] = {
    {"jobs waiting",
     "red",
     [](const day_second &entry) {
         return static_cast<double>(entry.waiting);
     }},
    {"runs",
     "blue",
     [](const day_second &entry) {
         return static_cast<double>(entry.running);
     }},
    {"refused or unknown per second",
     "black",
     [](const day_second &entry) {
         return static_cast<double>(entry.refused + entry.unknown);
     }},
    {"completed per second",
     "green4",
     [](const day_second &entry) {
         return static_cast<double>(entry.completed);
     }},
};

double xOf(const day_series &series, std::size_t index)
{
    const double share =
        static_cast<double>(index) / static_cast<double>(std::max<std::size_t>(1, series.seconds.size()));
    return leftEdge + share * (width - leftEdge - 20);
}

void drawCurve(plPlotter *plotter, const day_series &series, const curve &line, int column)
{
    double highest = 1;
    for (const day_second &entry : series.seconds) {
        highest = std::max(highest, line.value(entry));
    }
    pl_pencolorname_r(plotter, line.colour);
    for (std::size_t index = 0; index < series.seconds.size(); ++index) {
        const double y = bottomEdge + line.value(series.seconds[index]) / highest * (topEdge - bottomEdge);
        if (index == 0) {
            pl_fmove_r(plotter, xOf(series, index), y);
        } else {
            pl_fcont_r(plotter, xOf(series, index), y);
        }
    }
    pl_endpath_r(plotter);
    pl_fmove_r(plotter, leftEdge + column * 280, topEdge + 35);
    const std::string text = std::string(line.name) + " (max " + std::to_string(static_cast<int>(highest)) + ")";
    pl_alabel_r(plotter, 'l', 'c', text.c_str());
}

/// Draws the incidents below the axis, rotated so that neighbouring labels do not overlap.
void drawIncidents(plPlotter *plotter, const day_series &series)
{
    pl_pencolorname_r(plotter, "gray40");
    pl_ftextangle_r(plotter, -90);
    for (std::size_t index = 0; index < series.seconds.size(); ++index) {
        std::string text;
        for (const std::string &incident : series.seconds[index].incidents) {
            text += (text.empty() ? "" : ", ") + incident;
        }
        if (!text.empty()) {
            pl_fmove_r(plotter, xOf(series, index), bottomEdge - 25);
            pl_alabel_r(plotter, 'l', 'c', text.c_str());
        }
    }
    pl_ftextangle_r(plotter, 0);
}

void drawAxis(plPlotter *plotter, const day_series &series)
{
    constexpr std::size_t tickInterval = 5;
    pl_pencolorname_r(plotter, "black");
    pl_fline_r(plotter, leftEdge, bottomEdge, width - 20, bottomEdge);
    for (std::size_t index = 0; index < series.seconds.size(); index += tickInterval) {
        pl_fmove_r(plotter, xOf(series, index), bottomEdge - 12);
        pl_alabel_r(plotter, 'c', 'c', (std::to_string(index) + " s").c_str());
    }
}

void draw(const day_series &series)
{
    plPlotterParams *parameters = pl_newplparams();
    pl_setplparam(parameters, "PAGESIZE", const_cast<char *>(pageSize));
    plPlotter *plotter = pl_newpl_r("svg", nullptr, stdout, stderr, parameters);
    pl_openpl_r(plotter);
    pl_fspace_r(plotter, 0, 0, width, height);
    pl_erase_r(plotter);
    pl_fontname_r(plotter, "HersheySans");
    pl_ffontsize_r(plotter, fontSize);
    drawAxis(plotter, series);
    drawIncidents(plotter, series);
    int column = 0;
    for (const curve &line : curves) {
        drawCurve(plotter, series, line, column++);
    }
    pl_closepl_r(plotter);
    pl_deletepl_r(plotter);
    pl_deleteplparams(parameters);
}

} // namespace

int main(int argc, char **argv)
{
    std::vector<log_line> lines;
    for (int index = 1; index < argc; ++index) {
        if (!readLogFile(argv[index], [&lines](log_line line) { lines.push_back(std::move(line)); })) {
            std::cerr << "daychart: cannot read \"" << argv[index] << "\"\n";
            return exitUsage;
        }
    }
    const day_series series = summarizeDay(lines);
    if (series.seconds.empty()) {
        std::cerr << "daychart: no log line with a time in the files; usage: daychart LOG... > day.svg\n";
        return exitUsage;
    }
    draw(series);
    return 0;
}
