use std::time::Duration;

use futures_util::task::noop_waker;

use super::*;

fn start() -> Time {
    BootClock.now()
}

fn events(bytes: usize) -> Bytes {
    Bytes::from(vec![b'x'; bytes])
}

fn read(receiver: &mut EventReceiver) -> Poll<Option<Result<usize, ()>>> {
    let waker = noop_waker();
    let polled = receiver.poll_frame(&mut Context::from_waker(&waker));
    polled.map(|frame| {
        frame.map(|frame| frame.map(|frame| frame.into_data().unwrap().len()).map_err(|_| ()))
    })
}

// Guards against a host that grows with each caller who does not read: the number of buffered frames
// was bounded, their bytes were not.
#[test]
fn buffers_no_more_than_the_limit_for_one_caller() {
    let now = start();
    let (sender, mut receiver) = StreamBuffers::new(8 << 20).channel(now);

    let mut taken = 0;
    while sender.try_send(now, &events(10_000)) == Ok(Offer::Taken) {
        taken += 10_000;
    }

    assert!(taken <= STREAM_BUFFER_BYTES && taken > STREAM_BUFFER_BYTES - 10_000);
    assert_eq!(read(&mut receiver), Poll::Ready(Some(Ok(10_000))));
    assert_eq!(sender.try_send(now, &events(10_000)), Ok(Offer::Taken));
}

#[test]
fn a_stalled_caller_loses_its_stream_when_its_buffer_is_needed() {
    let now = start();
    let later = now + Duration::from_secs(3);
    let buffers = StreamBuffers::new(100_000);
    let (stalled, mut stalled_receiver) = buffers.channel(now);
    let (sound, mut sound_receiver) = buffers.channel(now);
    let cutoffs = [Cutoff::default(), Cutoff::default()];
    stalled_receiver.set_cutoff(Some(cutoffs[0].clone()));
    sound_receiver.set_cutoff(Some(cutoffs[1].clone()));
    assert_eq!(stalled.try_send(now, &events(90_000)), Ok(Offer::Taken));

    assert_eq!(sound.try_send(later, &events(50_000)), Ok(Offer::BudgetFull));
    buffers.drop_slowest(later);

    assert_eq!(sound.try_send(later, &events(50_000)), Ok(Offer::Taken));
    assert_eq!(stalled.try_send(later, &events(1)), Err(Refusal::CallerStalled));
    assert_eq!(read(&mut stalled_receiver), Poll::Ready(Some(Err(()))));
    assert_eq!(read(&mut sound_receiver), Poll::Ready(Some(Ok(50_000))));
    // Its connection may be full, so it has a time limit of its own.
    assert_eq!(cutoffs.map(|cutoff| cutoff.is_cut()), [true, false]);
}

#[test]
fn a_caller_that_reads_keeps_its_stream() {
    let now = start();
    let buffers = StreamBuffers::new(100_000);
    let (first, _receiver) = buffers.channel(now);
    let (second, _other) = buffers.channel(now);
    assert_eq!(first.try_send(now, &events(90_000)), Ok(Offer::Taken));

    buffers.drop_slowest(now + Duration::from_secs(1));

    assert_eq!(second.try_send(now, &events(50_000)), Ok(Offer::BudgetFull));
    assert_eq!(first.try_send(now, &events(1_000)), Ok(Offer::Taken));
}

// Guards against callers who stall in numbers and keep the events of callers who read waiting until these are
// late: one stalled caller is cut in a quarter of a second.
#[test]
fn stalled_callers_leave_room_for_callers_that_read() {
    let now = start();
    let buffers = StreamBuffers::new(100_000);
    let (stalled, _receiver) = buffers.channel(now);
    while stalled.try_send(now, &events(5_000)) == Ok(Offer::Taken) {}

    let (reading, mut receiver) = buffers.channel(now);
    for _ in 0..50 {
        assert_eq!(reading.try_send(now, &events(5_000)), Ok(Offer::Taken));
        assert_eq!(read(&mut receiver), Poll::Ready(Some(Ok(5_000))));
    }
}

// Guards against an answer that ends early and looks complete.
#[test]
fn only_a_finished_stream_ends_as_complete() {
    let now = start();
    let buffers = StreamBuffers::new(100_000);
    let (finished, mut complete) = buffers.channel(now);
    let (aborted, mut cut) = buffers.channel(now);
    let (dropped, mut lost) = buffers.channel(now);

    finished.finish();
    aborted.abort("broken");
    drop(dropped);

    assert_eq!(read(&mut complete), Poll::Ready(None));
    assert_eq!(read(&mut cut), Poll::Ready(Some(Err(()))));
    assert_eq!(read(&mut lost), Poll::Ready(Some(Err(()))));
}

#[test]
fn a_caller_that_leaves_gives_its_bytes_back() {
    let now = start();
    let buffers = StreamBuffers::new(100_000);
    let (sender, receiver) = buffers.channel(now);
    assert_eq!(sender.try_send(now, &events(90_000)), Ok(Offer::Taken));

    drop(receiver);

    assert_eq!(buffers.used(), 0);
    assert_eq!(sender.try_send(now, &events(1)), Err(Refusal::CallerLeft));
}

// Guards against streams that are cut while memory is free: a caller with a full buffer of its own had
// the streams of others, who were only slower to read, dropped.
#[tokio::test]
async fn a_full_buffer_of_one_caller_costs_no_other_stream() {
    let now = start();
    let buffers = StreamBuffers::new(8 << 20);
    let (slow, mut slow_receiver) = buffers.channel(now);
    let (pausing, mut pausing_receiver) = buffers.channel(now);
    let long_ago = Time::from_micros(now.as_micros().saturating_sub(5_000_000));
    assert_eq!(pausing.try_send(long_ago, &events(10)), Ok(Offer::Taken));
    while slow.try_send(now, &events(10_000)) == Ok(Offer::Taken) {}

    let deadline = now + Duration::from_secs(60);
    let sending = tokio::spawn(async move { slow.send(deadline, events(10_000)).await });
    sleep(Duration::from_millis(50)).await;
    assert!(!sending.is_finished());
    assert_eq!(read(&mut slow_receiver), Poll::Ready(Some(Ok(10_000))));

    assert_eq!(sending.await.unwrap(), Ok(()));
    assert_eq!(read(&mut pausing_receiver), Poll::Ready(Some(Ok(10))));
    assert_eq!(buffers.dropped(), 0);
}

#[tokio::test]
async fn a_caller_that_never_reads_is_given_up_at_the_deadline() {
    let now = start();
    let (sender, _receiver) = StreamBuffers::new(8 << 20).channel(now);
    while sender.try_send(now, &events(10_000)) == Ok(Offer::Taken) {}

    let deadline = now + Duration::from_millis(20);

    assert_eq!(sender.send(deadline, events(10_000)).await, Err(Refusal::TimedOut));
}
