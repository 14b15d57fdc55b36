//! Helpers for benchmarks: resource usage of processes, statistics and plots.

use std::fmt::Write;

/// Clock ticks per second in `/proc`.
const TICKS_PER_S: f64 = 100.0;
const KIB: u64 = 1024;

/// CPU time, memory and threads of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessUsage {
    /// CPU time in seconds.
    pub cpu_s: f64,
    /// Resident memory in bytes.
    pub rss: u64,
    /// Number of threads.
    pub threads: u64,
}

/// Reads the resource usage of a process from `/proc`.
pub fn process_usage(pid: u32) -> ProcessUsage {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The process name in parentheses may contain spaces.
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or("")
        .split_whitespace()
        .collect();
    let ticks = |index: usize| {
        fields
            .get(index)
            .and_then(|f| f.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    ProcessUsage {
        cpu_s: (ticks(11) + ticks(12)) / TICKS_PER_S,
        rss: status_value(pid, "VmRSS:") * KIB,
        threads: status_value(pid, "Threads:"),
    }
}

fn status_value(pid: u32, key: &str) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find(|l| l.starts_with(key)).unwrap_or("");
    line.split_whitespace()
        .nth(1)
        .and_then(|n| n.parse().ok())
        .unwrap_or(0)
}

/// Bytes received on the loopback interface so far.
pub fn loopback_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text
        .lines()
        .find(|l| l.trim_start().starts_with("lo:"))
        .unwrap_or("");
    line.split_whitespace()
        .nth(1)
        .and_then(|n| n.parse().ok())
        .unwrap_or(0.0)
}

/// Quantile of the samples, which are sorted in place; 0 if there are none.
///
/// ```
/// assert_eq!(rw_standins::measure::quantile(&mut [3.0, 1.0, 2.0], 0.5), 2.0);
/// ```
pub fn quantile(samples: &mut [f64], fraction: f64) -> f64 {
    samples.sort_by(f64::total_cmp);
    let index = (samples.len() as f64 * fraction) as usize;
    samples
        .get(index.min(samples.len().saturating_sub(1)))
        .copied()
        .unwrap_or(0.0)
}

/// Slope and intercept of the least-squares line through the points.
///
/// ```
/// let (slope, intercept) = rw_standins::measure::linear_fit(&[(0.0, 1.0), (2.0, 5.0)]);
/// assert_eq!((slope, intercept), (2.0, 1.0));
/// ```
pub fn linear_fit(points: &[(f64, f64)]) -> (f64, f64) {
    let n = points.len() as f64;
    let (sum_x, sum_y) = points
        .iter()
        .fold((0.0, 0.0), |(sum_x, sum_y), (x, y)| (sum_x + x, sum_y + y));
    let (mean_x, mean_y) = (sum_x / n, sum_y / n);
    let numerator: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let denominator: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = if denominator > 0.0 {
        numerator / denominator
    } else {
        0.0
    };
    (slope, mean_y - slope * mean_x)
}

/// A line in a plot.
pub struct Series {
    /// Label in the legend.
    pub name: String,
    /// Points as (x, y), in drawing order.
    pub points: Vec<(f64, f64)>,
}

const WIDTH: f64 = 640.0;
const HEIGHT: f64 = 400.0;
const MARGIN: f64 = 60.0;
const COLOURS: [&str; 6] = [
    "#1b6ca8", "#c0392b", "#27854a", "#8e44ad", "#b9770e", "#555555",
];

/// Draws a line plot as SVG.
pub fn line_plot(title: &str, x_label: &str, y_label: &str, series: &[Series]) -> String {
    let all_points = || series.iter().flat_map(|s| &s.points);
    let max_x = all_points().map(|p| p.0).fold(1e-9, f64::max);
    let max_y = all_points().map(|p| p.1).fold(1e-9, f64::max);
    let to_pixels = |(x, y): (f64, f64)| {
        let px = MARGIN + x / max_x * (WIDTH - 2.0 * MARGIN);
        let py = HEIGHT - MARGIN - y / max_y * (HEIGHT - 2.0 * MARGIN);
        (px, py)
    };
    let mut out = format!("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH}\" height=\"{HEIGHT}\" font-family=\"sans-serif\" font-size=\"12\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n");
    let _ = writeln!(
        out,
        "<text x=\"{MARGIN}\" y=\"24\" font-size=\"15\">{title}</text>"
    );
    let _ = writeln!(
        out,
        "<text x=\"{}\" y=\"{}\">{x_label}</text>",
        WIDTH / 2.0,
        HEIGHT - 16.0
    );
    let _ = writeln!(out, "<text x=\"8\" y=\"44\">{y_label}</text>");
    for step in 0..=4 {
        let fraction = f64::from(step) / 4.0;
        let (left, y) = to_pixels((0.0, fraction * max_y));
        let (x, bottom) = to_pixels((fraction * max_x, 0.0));
        let _ = writeln!(
            out,
            "<line x1=\"{left}\" y1=\"{y:.1}\" x2=\"{}\" y2=\"{y:.1}\" stroke=\"#dddddd\"/>",
            WIDTH - MARGIN
        );
        let _ = writeln!(
            out,
            "<text x=\"8\" y=\"{y:.1}\">{:.4}</text>",
            fraction * max_y
        );
        let _ = writeln!(
            out,
            "<text x=\"{x:.1}\" y=\"{}\">{:.0}</text>",
            bottom + 16.0,
            fraction * max_x
        );
    }
    for (index, line) in series.iter().enumerate() {
        let colour = COLOURS[index % COLOURS.len()];
        let points: Vec<String> = line
            .points
            .iter()
            .map(|p| to_pixels(*p))
            .map(|(x, y)| format!("{x:.1},{y:.1}"))
            .collect();
        let _ = writeln!(
            out,
            "<polyline fill=\"none\" stroke=\"{colour}\" stroke-width=\"2\" points=\"{}\"/>",
            points.join(" ")
        );
        let y = 60.0 + 16.0 * index as f64;
        let _ = writeln!(
            out,
            "<text x=\"{}\" y=\"{y}\" fill=\"{colour}\">{}</text>",
            WIDTH - MARGIN - 140.0,
            line.name
        );
    }
    out.push_str("</svg>\n");
    out
}
