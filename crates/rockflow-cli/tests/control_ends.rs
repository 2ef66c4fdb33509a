//! A control process whose dissemination thread has ended exits with an error code, so that its supervisor can restart
//! it.
#![cfg(all(feature = "dissemination", target_os = "linux", target_arch = "x86_64"))]

use rockflow_test_servers::DiscoveryServer;
use serde_json::{json, Value};
use std::io;
use std::net::UdpSocket;
use std::os::unix::process::CommandExt;
use std::process::{Command, Stdio};
use std::time::Duration;

const EXAMPLE: &str = include_str!("../../../deploy/example.json");
/// Longest wait for the exit of the process.
const EXIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Makes `epoll_wait` fail in this process wherever it is called with a timeout. Only the dissemination thread does so;
/// the threads of the discovery connection wait without a timeout.
fn fail_timed_epoll_waits() -> io::Result<()> {
    const ALLOW: u32 = libc::SECCOMP_RET_ALLOW;
    const FAIL: u32 = libc::SECCOMP_RET_ERRNO | libc::EBADF as u32;
    let load = (libc::BPF_LD | libc::BPF_W | libc::BPF_ABS) as u16;
    let equal = (libc::BPF_JMP | libc::BPF_JEQ | libc::BPF_K) as u16;
    let return_action = (libc::BPF_RET | libc::BPF_K) as u16;
    // Offsets in `seccomp_data`: the number of the system call, and the lower half of its fourth argument, the timeout.
    let (number_offset, timeout_offset) = (0, 16 + 3 * 8);
    let instruction = |code, k, jt, jf| libc::sock_filter { code, jt, jf, k };
    let instructions = [
        instruction(load, number_offset, 0, 0),
        instruction(equal, libc::SYS_epoll_wait as u32, 0, 3),
        instruction(load, timeout_offset, 0, 0),
        instruction(equal, -1i32 as u32, 1, 0),
        instruction(return_action, FAIL, 0, 0),
        instruction(return_action, ALLOW, 0, 0),
    ];
    let program =
        libc::sock_fprog { len: instructions.len() as u16, filter: instructions.as_ptr().cast_mut() };
    // SAFETY: both calls take plain numbers, and `program` lives until they return.
    let is_installed = unsafe {
        libc::prctl(libc::PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0) == 0
            && libc::prctl(libc::PR_SET_SECCOMP, libc::SECCOMP_MODE_FILTER, &program) == 0
    };
    is_installed.then_some(()).ok_or_else(io::Error::last_os_error)
}

#[test]
fn a_control_process_exits_with_an_error_when_its_dissemination_thread_ends() {
    let folder = std::env::temp_dir().join(format!("rockflow-ends-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let discovery = DiscoveryServer::start();
    let port = UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port();
    let members = folder.join("members.csv");
    std::fs::write(&members, "version,1\nd1,north,s1,z,127.0.0.1:1\n").unwrap();
    let operator_file = folder.join("c0.ini");
    let operator_text = format!(
        "[dissemination]\nfleet = test\nlisten = 127.0.0.1:{port}\ncontrol = c0@127.0.0.1:{port}\n\
         purge-seconds = 8.7\npulse-ms = 100\n\n[control]\ndirectory = {}\n",
        members.display()
    );
    std::fs::write(&operator_file, operator_text).unwrap();
    let mut configuration: Value = serde_json::from_str(EXAMPLE).unwrap();
    (configuration["name"], configuration["board"]) = (json!("c0"), json!(discovery.address.to_string()));
    let config = folder.join("c0.json");
    std::fs::write(&config, configuration.to_string()).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_rockflow"));
    command.arg("control").arg("--config").arg(&config).arg("--operator").arg(&operator_file);
    command.env_remove("ROCKFLOW_OPERATOR").stdout(Stdio::null()).stderr(Stdio::piped());
    // SAFETY: the function makes only system calls and doesn't allocate, as is required after `fork`.
    unsafe { command.pre_exec(fail_timed_epoll_waits) };
    let mut process = command.spawn().unwrap();
    let has_exited =
        rockflow_process_harness::wait_until(EXIT_TIMEOUT, || process.try_wait().unwrap().is_some());
    if !has_exited {
        process.kill().unwrap();
    }
    let output = process.wait_with_output().unwrap();
    let _ = std::fs::remove_dir_all(&folder);
    let log = String::from_utf8_lossy(&output.stderr);
    assert!(log.contains("unexpected error when polling"), "{log}");
    assert!(has_exited, "still runs without its dissemination thread: {log}");
    assert_eq!(output.status.code(), Some(1), "{log}");
    assert!(log.contains("rockflow: dissemination: its thread has ended"), "{log}");
}
