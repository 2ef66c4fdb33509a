//! A control process whose machine is gone ends, and says so by its code: whoever starts it can start it again.
#![cfg(all(feature = "dissemination", target_os = "linux", target_arch = "x86_64"))]

use rockflow_test_servers::DiscoveryServer;
use serde_json::{json, Value};
use std::io;
use std::net::UdpSocket;
use std::os::unix::process::CommandExt;
use std::process::{Command, Stdio};
use std::time::Duration;

const EXAMPLE: &str = include_str!("../../../deploy/example.json");
const PATIENCE: Duration = Duration::from_secs(20);

/// From here on every wait for a socket that has an end of its own fails. Only the machine's thread waits so: what the
/// board's connection runs on waits till something comes.
fn no_wait_ends() -> io::Result<()> {
    const ALLOW: u32 = libc::SECCOMP_RET_ALLOW;
    const FAIL: u32 = libc::SECCOMP_RET_ERRNO | libc::EBADF as u32;
    let load = (libc::BPF_LD | libc::BPF_W | libc::BPF_ABS) as u16;
    let equal = (libc::BPF_JMP | libc::BPF_JEQ | libc::BPF_K) as u16;
    let end = (libc::BPF_RET | libc::BPF_K) as u16;
    // Of what is called: its number, and the lower half of the fourth argument, which is the time till the end.
    let (number, time) = (0, 16 + 3 * 8);
    let step = |code, k, jt, jf| libc::sock_filter { code, jt, jf, k };
    let steps = [
        step(load, number, 0, 0),
        step(equal, libc::SYS_epoll_wait as u32, 0, 3),
        step(load, time, 0, 0),
        step(equal, -1i32 as u32, 1, 0),
        step(end, FAIL, 0, 0),
        step(end, ALLOW, 0, 0),
    ];
    let program = libc::sock_fprog { len: steps.len() as u16, filter: steps.as_ptr().cast_mut() };
    // Safe: both calls take plain numbers and a program that outlives them.
    let set = unsafe {
        libc::prctl(libc::PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0) == 0
            && libc::prctl(libc::PR_SET_SECCOMP, libc::SECCOMP_MODE_FILTER, &program) == 0
    };
    set.then_some(()).ok_or_else(io::Error::last_os_error)
}

#[test]
fn a_control_process_exits_with_an_error_when_its_dissemination_thread_ends() {
    let folder = std::env::temp_dir().join(format!("rockflow-ends-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let board = DiscoveryServer::start();
    let port = UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port();
    let members = folder.join("members.csv");
    std::fs::write(&members, "version,1\nd1,north,s1,z,127.0.0.1:1\n").unwrap();
    let operator = folder.join("c0.ini");
    let text = format!(
        "[dissemination]\nfleet = test\nlisten = 127.0.0.1:{port}\ncontrol = c0@127.0.0.1:{port}\n\
         purge-seconds = 8.7\npulse-ms = 100\n\n[control]\ndirectory = {}\n",
        members.display()
    );
    std::fs::write(&operator, text).unwrap();
    let mut value: Value = serde_json::from_str(EXAMPLE).unwrap();
    (value["name"], value["board"]) = (json!("c0"), json!(board.address.to_string()));
    let config = folder.join("c0.json");
    std::fs::write(&config, value.to_string()).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_rockflow"));
    command.arg("control").arg("--config").arg(&config).arg("--operator").arg(&operator);
    command.env_remove("ROCKFLOW_OPERATOR").stdout(Stdio::null()).stderr(Stdio::piped());
    // Safe: nothing is called there but the system.
    unsafe { command.pre_exec(no_wait_ends) };
    let mut process = command.spawn().unwrap();
    let ended = rockflow_process_harness::wait_until(PATIENCE, || process.try_wait().unwrap().is_some());
    if !ended {
        process.kill().unwrap();
    }
    let output = process.wait_with_output().unwrap();
    let _ = std::fs::remove_dir_all(&folder);
    let log = String::from_utf8_lossy(&output.stderr);
    assert!(log.contains("unexpected error when polling"), "{log}");
    assert!(ended, "lives on without its machine: {log}");
    assert_eq!(output.status.code(), Some(1), "{log}");
    assert!(log.contains("rockflow: dissemination: its thread has ended"), "{log}");
}
