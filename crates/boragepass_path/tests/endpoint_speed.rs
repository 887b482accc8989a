//! Estimates of the speed of endpoints from samples and statements.

use boragepass_path::{EndpointSpeed, PoolSpeed, SpeedProbe};
use boragepass_types::{SpanMs, TimeMs};

const NOW: TimeMs = TimeMs(10_000);

fn sample(pool: &mut PoolSpeed, endpoint: &mut EndpointSpeed, prefill_ms: f64, took_ms: f64) {
    endpoint.on_sample(pool, SpeedProbe { prefill_ms, round_trip_ms: 2.0 }, SpanMs((took_ms + 2.0) as u64));
}

/// Pool whose typical endpoint takes 80 ms and 1.7 times the usual prefill.
fn learnt_pool() -> PoolSpeed {
    let mut pool = PoolSpeed::default();
    for index in 0..40 {
        let prefill_ms = f64::from(index * 37 % 200);
        sample(&mut pool, &mut EndpointSpeed::default(), prefill_ms, 80.0 + 1.7 * prefill_ms);
    }
    pool
}

#[test]
fn without_samples_and_statements_factors_are_exactly_one() {
    let speed = EndpointSpeed::default().at(NOW, None);
    assert_eq!((speed.work_factor, speed.prefill_factor, speed.excess_ms()), (1.0, 1.0, 0.0));
    assert_eq!(speed.prefill_tokens_per_ms(), 93.0);
}

#[test]
fn few_samples_of_a_pool_leave_its_typical_time_unknown() {
    let (mut pool, mut endpoint) = (PoolSpeed::default(), EndpointSpeed::default());
    (0..11).for_each(|_| sample(&mut pool, &mut endpoint, 100.0, 900.0));
    assert_eq!(endpoint.at(NOW, Some(&pool)).work_factor, 1.0);
}

/// A restarted endpoint has a new estimate, as a new one has.
#[test]
fn a_new_endpoint_takes_the_speed_of_its_pool() {
    let speed = EndpointSpeed::default().at(NOW, Some(&learnt_pool()));
    assert_eq!(speed.work_factor, 1.0);
    assert!((1.5..1.75).contains(&speed.prefill_factor), "{speed:?}");
}

#[test]
fn a_single_outlier_hardly_changes_an_estimate() {
    let (mut pool, mut endpoint) = (learnt_pool(), EndpointSpeed::default());
    (0..3).for_each(|_| sample(&mut pool, &mut endpoint, 50.0, 165.0));
    sample(&mut pool, &mut endpoint, 50.0, 5_000.0);
    let speed = endpoint.at(NOW, Some(&pool));
    assert!((0.9..1.1).contains(&speed.work_factor), "{speed:?}");
}

#[test]
fn a_slow_endpoint_is_known_after_several_samples() {
    let (mut pool, mut endpoint) = (learnt_pool(), EndpointSpeed::default());
    (0..12).for_each(|_| sample(&mut pool, &mut endpoint, 50.0, 165.0 * 1.6));
    let speed = endpoint.at(NOW, Some(&pool));
    assert!((1.3..1.6).contains(&speed.work_factor), "{speed:?}");
    assert!(speed.excess_ms() > 20.0, "{speed:?}");
}

/// Slow-downs of 600 ms at 2.5 times the usual time cover at most a third of the recent samples.
#[test]
fn slow_downs_do_not_make_a_sound_endpoint_slow() {
    let (mut pool, mut endpoint) = (learnt_pool(), EndpointSpeed::default());
    for index in 0..15 {
        let slow_down = if index % 3 == 0 { 2.5 } else { 1.0 };
        sample(&mut pool, &mut endpoint, 50.0, 165.0 * slow_down);
    }
    let speed = endpoint.at(NOW, Some(&pool));
    assert!((0.9..1.1).contains(&speed.work_factor), "{speed:?}");
}

#[test]
fn a_statement_counts_at_once_and_for_half_a_second() {
    let mut endpoint = EndpointSpeed::default();
    endpoint.on_stated(NOW, 250);
    assert_eq!(endpoint.at(NOW, None).work_factor, 2.5);
    assert_eq!(endpoint.at(NOW + SpanMs(499), None).work_factor, 2.5);
    assert_eq!(endpoint.at(NOW + SpanMs(500), None).work_factor, 1.0);
}

/// Without this, a machine that states its lasting slowness would be counted as slow twice.
#[test]
fn a_lasting_slowness_that_is_stated_and_measured_counts_once() {
    let (mut pool, mut endpoint) = (learnt_pool(), EndpointSpeed::default());
    for _ in 0..15 {
        endpoint.on_stated(NOW, 160);
        sample(&mut pool, &mut endpoint, 50.0, 165.0 * 1.6);
    }
    let speed = endpoint.at(NOW, Some(&pool));
    assert!((1.3..1.7).contains(&speed.work_factor), "{speed:?}");
}
