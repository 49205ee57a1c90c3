//! Plots of lines, as SVG.

use std::error::Error;

use plotters::coord::ranged1d::{Ranged, ValueFormatter};
use plotters::prelude::*;

use crate::outcome::FailureSpan;

const SIZE: (u32, u32) = (900, 260);
const CAPTION_FONT: (&str, i32) = ("sans-serif", 15);
const MARGIN: i32 = 6;
const X_LABEL_AREA: i32 = 32;
const Y_LABEL_AREA: i32 = 56;
const LINE_WIDTH: u32 = 2;
const LEGEND_WIDTH: i32 = 18;
/// Room above the highest point, and on a logarithmic scale below the lowest.
const ROOM_ABOVE: f64 = 1.05;
const ROOM_BELOW: f64 = 0.8;
/// A logarithmic scale begins no lower.
const LEAST_LOG_X: f64 = 1.0;
const LEAST_LOG_Y: f64 = 1e-3;

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
    /// Its place on the x axis.
    pub x: f64,
    /// Its value.
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
    /// What the x axis counts.
    pub x_label: &'a str,
    /// Both axes are logarithmic.
    pub logarithmic: bool,
}

impl<'a> Axes<'a> {
    /// Linear axes that begin at zero.
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

/// The part of the plane that a plot shows.
#[derive(Clone, Copy)]
struct Area {
    least: Point,
    most: Point,
}

impl Area {
    /// The area of all finite points; none where nothing could be seen in it.
    fn around(lines: &[Line], logarithmic: bool) -> Option<Area> {
        let points = || {
            lines
                .iter()
                .flat_map(|line| &line.points)
                .filter(|point| point.x.is_finite() && point.y.is_finite())
        };
        let most = Point {
            x: points().map(|point| point.x).fold(0.0, f64::max),
            y: points().map(|point| point.y).fold(0.0, f64::max) * ROOM_ABOVE,
        };
        if most.x <= 0.0 || most.y <= 0.0 {
            return None;
        }
        let mut least = Point { x: 0.0, y: 0.0 };
        if logarithmic {
            let least_x = points().map(|point| point.x).fold(f64::INFINITY, f64::min);
            let least_y = points().map(|point| point.y).fold(f64::INFINITY, f64::min);
            least.x = least_x.max(LEAST_LOG_X);
            least.y = least_y.max(LEAST_LOG_Y) * ROOM_BELOW;
        }
        Some(Area { least, most })
    }
}

/// A plot of lines over an x axis, with what went wrong shaded. Empty where nothing can be drawn.
pub fn plot(title: &str, axes: Axes, lines: &[Line], shades: &[FailureSpan]) -> String {
    let Some(area) = Area::around(lines, axes.logarithmic) else {
        return String::new();
    };
    let mut svg = String::new();
    let drawing = Drawing {
        x_label: axes.x_label,
        lines,
        shades,
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
    let Area { least, most } = drawing.area;
    let root = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    let mut builder = ChartBuilder::on(&root);
    builder
        .caption(title, CAPTION_FONT)
        .margin(MARGIN)
        .x_label_area_size(X_LABEL_AREA)
        .y_label_area_size(Y_LABEL_AREA);
    if logarithmic {
        let x_axis = (least.x..most.x).log_scale();
        let y_axis = (least.y..most.y).log_scale();
        drawing.draw_on(builder.build_cartesian_2d(x_axis, y_axis)?)?;
    } else {
        let x_axis = least.x..most.x;
        let y_axis = least.y..most.y;
        drawing.draw_on(builder.build_cartesian_2d(x_axis, y_axis)?)?;
    }
    root.present()?;
    Ok(())
}

/// What is drawn on a chart, whatever its axes are.
struct Drawing<'a> {
    x_label: &'a str,
    lines: &'a [Line],
    shades: &'a [FailureSpan],
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
        for shade in self.shades {
            chart.draw_series(std::iter::once(self.shaded(shade)))?;
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

    fn shaded(&self, shade: &FailureSpan) -> Rectangle<(f64, f64)> {
        let Area { least, most } = self.area;
        let corners = [(shade.start_s, least.y), (shade.end_s.min(most.x), most.y)];
        Rectangle::new(corners, BLACK.mix(0.08).filled())
    }
}
