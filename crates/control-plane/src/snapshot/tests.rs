//! Tests of decoding earlier and later forms.

use super::*;
use crate::command::{Command, CommandOutcome};

#[test]
fn earlier_forms_are_decoded_and_later_ones_rejected() {
    #[derive(Serialize)]
    struct WrittenSnapshot {
        form: u32,
        agreed: StateBeforeForm4,
    }
    let body = r#"{"rev": 5, "routes": []}"#;
    let digest = {
        use sha2::Digest;
        let parts: [&[u8]; 3] = [&[0], &0u64.to_be_bytes(), body.as_bytes()];
        sha2::Sha256::digest(parts.concat()).into()
    };
    for form in [
        FORM_WITH_EVACUATION_COUNTS,
        FORM_WITHOUT_KEYS,
        CURRENT_FORM + 1,
    ] {
        let state = StateBeforeForm4 {
            rev: 5,
            config_index: 1,
            config: body.into(),
            evacuated: BTreeMap::from([("a".into(), 2)]),
            evacuated_index: 4,
            keys: BTreeMap::new(),
            keys_index: 0,
            taken: BTreeMap::from([(5, digest)]),
        };
        let mut data = Vec::new();
        ciborium::into_writer(
            &WrittenSnapshot {
                form,
                agreed: state,
            },
            &mut data,
        )
        .expect("written");
        let read = decode(&data);
        if form > CURRENT_FORM {
            assert!(read.is_err_and(|error| error.to_string().contains("form 5")));
            continue;
        }
        let mut state = read.expect("read");
        assert_eq!(state.evacuation_count("a"), 2);
        let again = Command::Replace {
            base: 0,
            body: body.into(),
        };
        assert_eq!(state.check(&again), CommandOutcome::AlreadyApplied);
        // A log entry after the snapshot, written by the same build.
        let returned = Command::LegacyReturn {
            zone: "a".into(),
            expected_index: 4,
        };
        assert_eq!(state.apply(5, &returned), CommandOutcome::Applied);
        assert_eq!(state.evacuation_count("a"), 1);
    }
}
