//! Line plots as SVG.

use std::error::Error;

use plotters::coord::ranged1d::{Ranged, ValueFormatter};
use plotters::prelude::*;

use crate::outcome::FailureSpan;

/// The width and height of a plot; this and the following sizes are in pixels.
const SIZE: (u32, u32) = (900, 260);
const CAPTION_FONT: (&str, i32) = ("sans-serif", 15);
const MARGIN: i32 = 6;
const X_LABEL_AREA: i32 = 32;
const Y_LABEL_AREA: i32 = 56;
const LINE_WIDTH: u32 = 2;
const LEGEND_WIDTH: i32 = 18;
/// The upper end of the y axis, as a multiple of the highest value.
const TOP_MARGIN_FACTOR: f64 = 1.05;
/// The lower end of a logarithmic y axis, as a multiple of the lowest value.
const BOTTOM_MARGIN_FACTOR: f64 = 0.8;
/// The lowest permitted start of a logarithmic x axis.
const MIN_LOG_X: f64 = 1.0;
/// The lowest value that a logarithmic y axis takes into account.
const MIN_LOG_Y: f64 = 1e-3;

const COLOURS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
    RGBColor(255, 127, 14),
    RGBColor(23, 190, 207),
];

/// A point of a line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// Its position on the x axis.
    pub x: f64,
    /// Its position on the y axis.
    pub y: f64,
}

/// A line of a plot.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Its name in the legend.
    pub name: String,
    /// Its points, from left to right.
    pub points: Vec<Point>,
}

/// The axes of a plot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Axes<'a> {
    /// The label of the x axis.
    pub x_label: &'a str,
    /// Whether both axes are logarithmic, instead of linear.
    pub logarithmic: bool,
}

impl<'a> Axes<'a> {
    /// Linear axes that start at zero.
    pub fn linear(x_label: &'a str) -> Axes<'a> {
        Axes {
            x_label,
            logarithmic: false,
        }
    }

    /// Logarithmic axes.
    pub fn logarithmic(x_label: &'a str) -> Axes<'a> {
        Axes {
            x_label,
            logarithmic: true,
        }
    }
}

/// The ranges of the two axes.
#[derive(Clone, Copy)]
struct Area {
    min: Point,
    max: Point,
}

impl Area {
    /// The area that shows all finite points, or `None` if it would be empty.
    fn around(lines: &[Line], logarithmic: bool) -> Option<Area> {
        let points = || {
            lines
                .iter()
                .flat_map(|line| &line.points)
                .filter(|point| point.x.is_finite() && point.y.is_finite())
        };
        let max = Point {
            x: points().map(|point| point.x).fold(0.0, f64::max),
            y: points().map(|point| point.y).fold(0.0, f64::max) * TOP_MARGIN_FACTOR,
        };
        if max.x <= 0.0 || max.y <= 0.0 {
            return None;
        }
        let mut min = Point { x: 0.0, y: 0.0 };
        if logarithmic {
            let min_x = points().map(|point| point.x).fold(f64::INFINITY, f64::min);
            let min_y = points().map(|point| point.y).fold(f64::INFINITY, f64::min);
            min.x = min_x.max(MIN_LOG_X);
            min.y = min_y.max(MIN_LOG_Y) * BOTTOM_MARGIN_FACTOR;
        }
        Some(Area { min, max })
    }
}

/// The SVG of a plot of lines, with the periods of failures shaded. Empty if there is nothing to draw.
pub fn plot(title: &str, axes: Axes, lines: &[Line], failure_spans: &[FailureSpan]) -> String {
    let Some(area) = Area::around(lines, axes.logarithmic) else {
        return String::new();
    };
    let mut svg = String::new();
    let drawing = Drawing {
        x_label: axes.x_label,
        lines,
        failure_spans,
        area,
    };
    let drawn = draw(&mut svg, title, axes.logarithmic, &drawing);
    if drawn.is_err() { String::new() } else { svg }
}

fn draw(
    svg: &mut String,
    title: &str,
    logarithmic: bool,
    drawing: &Drawing,
) -> Result<(), Box<dyn Error>> {
    let Area { min, max } = drawing.area;
    let root = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    let mut builder = ChartBuilder::on(&root);
    builder
        .caption(title, CAPTION_FONT)
        .margin(MARGIN)
        .x_label_area_size(X_LABEL_AREA)
        .y_label_area_size(Y_LABEL_AREA);
    if logarithmic {
        let x_axis = (min.x..max.x).log_scale();
        let y_axis = (min.y..max.y).log_scale();
        drawing.draw_on(builder.build_cartesian_2d(x_axis, y_axis)?)?;
    } else {
        let x_axis = min.x..max.x;
        let y_axis = min.y..max.y;
        drawing.draw_on(builder.build_cartesian_2d(x_axis, y_axis)?)?;
    }
    root.present()?;
    Ok(())
}

/// The contents of a chart, independent of its axes.
struct Drawing<'a> {
    x_label: &'a str,
    lines: &'a [Line],
    failure_spans: &'a [FailureSpan],
    area: Area,
}

type Chart<'a, 'b, X, Y> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<X, Y>>;

impl Drawing<'_> {
    fn draw_on<'a, 'b: 'a, X, Y>(
        &self,
        mut chart: Chart<'a, 'b, X, Y>,
    ) -> Result<(), Box<dyn Error>>
    where
        X: Ranged<ValueType = f64> + ValueFormatter<f64>,
        Y: Ranged<ValueType = f64> + ValueFormatter<f64>,
    {
        chart
            .configure_mesh()
            .x_desc(self.x_label)
            .light_line_style(WHITE.mix(0.0))
            .draw()?;
        for span in self.failure_spans {
            chart.draw_series(std::iter::once(self.shaded(span)))?;
        }
        for (line, colour) in self.lines.iter().zip(COLOURS.iter().copied().cycle()) {
            let points = line.points.iter().map(|point| (point.x, point.y));
            let series = LineSeries::new(points, colour.stroke_width(LINE_WIDTH));
            chart
                .draw_series(series)?
                .label(&line.name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + LEGEND_WIDTH, y)], colour));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.2))
            .draw()?;
        Ok(())
    }

    fn shaded(&self, span: &FailureSpan) -> Rectangle<(f64, f64)> {
        let Area { min, max } = self.area;
        let corners = [(span.start_s, min.y), (span.end_s.min(max.x), max.y)];
        Rectangle::new(corners, BLACK.mix(0.08).filled())
    }
}
