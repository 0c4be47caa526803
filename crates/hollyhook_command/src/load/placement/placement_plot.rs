use std::collections::BTreeMap;
use std::path::Path;

use eyre::{Result, eyre};
use plotters::prelude::*;

use super::placement_run::PlacementRow;

/// Width and height of the drawing in pixels.
const SIZE: (u32, u32) = (900, 420);
/// Margin around each half of the drawing in pixels.
const MARGIN: u32 = 12;
/// Space for the labels of an axis in pixels.
const LABEL_AREA: u32 = 44;
const FONT: (&str, u32) = ("sans-serif", 16);

/// Plots the share of generations that met their latency objectives against the load, one line per policy: without
/// faults on the left, with zone crashes on the right.
///
/// # Errors
///
/// Returns an error if the file can't be written.
pub(super) fn draw_rows(path: &Path, rows: &[PlacementRow]) -> Result<()> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    let failed = |error: &dyn std::fmt::Display| eyre!("can't draw `{}`: {error}", path.display());
    area.fill(&WHITE).map_err(|error| failed(&error))?;
    for (half, has_losses) in area.split_evenly((1, 2)).iter().zip([false, true]) {
        let rows = rows.iter().filter(|row| row.losses == has_losses);
        draw_half(half, has_losses, rows).map_err(|error| failed(&error))?;
    }
    area.present().map_err(|error| failed(&error))
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;
type DrawError<'a> = DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>;

fn draw_half<'r, 'a>(
    area: &Area<'a>,
    has_losses: bool,
    rows: impl Iterator<Item = &'r PlacementRow>,
) -> Result<(), DrawError<'a>> {
    let mut lines: BTreeMap<&str, Vec<(u64, f64)>> = BTreeMap::new();
    for row in rows {
        lines.entry(&row.policy).or_default().push((row.load, row.in_time_percent));
    }
    let loads = || lines.values().flatten().map(|(load, _)| *load);
    let (least, most) = (loads().min().unwrap_or(0), loads().max().unwrap_or(100));
    let caption = if has_losses { "a zone crash every six seconds" } else { "calm" };
    let mut chart = ChartBuilder::on(area)
        .caption(caption, FONT)
        .margin(MARGIN)
        .x_label_area_size(LABEL_AREA)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(least..most.max(least + 1), 0.0..100.0)?;
    chart.configure_mesh().x_desc("load, % of capacity").y_desc("in time, %").draw()?;
    for (number, (policy, mut points)) in lines.into_iter().enumerate() {
        points.sort_unstable_by_key(|(load, _)| *load);
        let style = Palette99::pick(number).stroke_width(2);
        let series = chart.draw_series(LineSeries::new(points, style))?;
        series.label(policy).legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], style));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()
}
