use super::*;
use crate::wire::WatchRequest;

#[tokio::test(flavor = "current_thread")]
async fn round_trip_and_malformed_frames() {
    let request = WatchRequest {
        config_index: 7,
        ready: true,
        ..WatchRequest::default()
    };
    let bytes = encode_frame(&request).expect("a frame");
    assert_eq!(
        receive_message::<WatchRequest>(&mut &bytes[..])
            .await
            .expect("a message"),
        request
    );
    for cut in 0..bytes.len() {
        assert!(
            receive_message::<WatchRequest>(&mut &bytes[..cut])
                .await
                .is_err(),
            "truncated at {cut}"
        );
    }
    let over_limit = [0xff, 0xff, 0xff, 0xff, 0];
    assert!(
        receive_message::<WatchRequest>(&mut &over_limit[..])
            .await
            .is_err(),
        "over the limit"
    );
    let malformed = [0, 0, 0, 3, 0xff, 0xfe, 0xfd];
    assert!(
        receive_message::<WatchRequest>(&mut &malformed[..])
            .await
            .is_err()
    );
}
