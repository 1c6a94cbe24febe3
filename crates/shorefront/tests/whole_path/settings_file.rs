//! Unusable settings files.

use std::process::Command;

use crate::common::{PROGRAM, temporary_folder};

#[test]
fn unusable_settings_name_file_field_and_line() {
    let folder = temporary_folder("settings");
    let file = folder.join("boot.json");
    let check = |file: &std::path::Path| {
        let output = Command::new(PROGRAM).arg("check").arg(file).output();
        let output = output.expect("run");
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        (output.status.code(), error)
    };
    let check_text = |text: &str| {
        std::fs::write(&file, text).expect("written");
        check(&file)
    };
    let (status, error) = check_text("{\"node\": \"n\",\n\"ip\": 7}");
    assert_eq!(status, Some(78));
    for part in ["boot.json", "`ip`", "line 2"] {
        assert!(error.contains(part), "{error}");
    }
    assert_eq!(check_text("{\"node\"").0, Some(78));
    assert_eq!(check("/nowhere/boot.json".as_ref()).0, Some(78));
    let _ = std::fs::remove_dir_all(&folder);
}
