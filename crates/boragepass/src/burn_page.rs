//! Renders the burn report as a self-contained HTML document with a plot for each workspace and pipeline.

use boragepass_core::BurnWindow;
use plotters::prelude::{
    BLACK, ChartBuilder, IntoDrawingArea, IntoSegmentedCoord, RED, Rectangle, SVGBackend, SegmentValue, WHITE,
};
use plotters::style::{Color, RGBColor};

use crate::burn::{BurnReport, BurnRow};

const PLOT_SIZE: (u32, u32) = (420, 220);
const BAR_COLOR: RGBColor = RGBColor(60, 110, 170);
const Y_AXIS_TOP_MIN: f64 = 1.5;

/// Renders the report as HTML.
pub(crate) fn render_page(report: &BurnReport) -> Result<String, String> {
    let mut body = String::new();
    for row in &report.rows {
        body.push_str(&format!("<h2>{} / {}</h2>\n", escape_html(&row.workspace), escape_html(&row.pipeline)));
        body.push_str(
            &render_plot(row)
                .map_err(|error| format!("cannot draw the plot of {} / {}: {error}", row.workspace, row.pipeline))?,
        );
    }
    let silent_note = if report.silent_vms.is_empty() {
        String::new()
    } else {
        format!("<p><b>Missing, because they did not answer: {}</b></p>\n", escape_html(&report.silent_vms.join(", ")))
    };
    Ok(format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Service-level burn</title>\
         <style>body{{font-family:sans-serif;margin:2em}}</style></head>\n<body><h1>Service-level burn</h1>\n\
         <p>Failures over the failures that the objective allows. Above 1 the objective is missed if it lasts.</p>\n\
         <p>From {} VMs; the youngest has counted for {} s.</p>\n{silent_note}{body}<pre>{}</pre></body></html>\n",
        report.vms.len(),
        report.covers_ms / 1_000,
        escape_html(&report.text()),
    ))
}

fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// Draws the burn rates of a row as an SVG bar chart, with a line at 1.
fn render_plot(row: &BurnRow) -> Result<String, Box<dyn std::error::Error>> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let burns: Vec<f64> = BurnWindow::ALL
            .iter()
            .map(|window| row.burn.get(&window.to_string()).copied().flatten().unwrap_or(0.0))
            .collect();
        let top = burns.iter().copied().fold(Y_AXIS_TOP_MIN, f64::max) * 1.1;
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(24)
            .y_label_area_size(36)
            .build_cartesian_2d((0..BurnWindow::ALL.len() - 1).into_segmented(), 0.0..top)?;
        let label = |value: &SegmentValue<usize>| match value {
            SegmentValue::CenterOf(index) => BurnWindow::ALL.get(*index).map(ToString::to_string).unwrap_or_default(),
            SegmentValue::Exact(_) | SegmentValue::Last => String::new(),
        };
        chart.configure_mesh().disable_x_mesh().x_label_formatter(&label).axis_style(BLACK).draw()?;
        chart.draw_series(burns.iter().enumerate().map(|(index, burn)| {
            let corners = [(SegmentValue::Exact(index), 0.0), (SegmentValue::Exact(index + 1), *burn)];
            let mut bar = Rectangle::new(corners, BAR_COLOR.filled());
            bar.set_margin(0, 0, 12, 12);
            bar
        }))?;
        let limit = [(SegmentValue::Exact(0), 1.0), (SegmentValue::Last, 1.0)];
        chart.draw_series(std::iter::once(plotters::prelude::PathElement::new(limit, RED)))?;
        area.present()?;
    }
    Ok(svg)
}
