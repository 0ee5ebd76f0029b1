//! Proxy between a process and the store, whose open connections can go silent.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;

/// Proxy that passes connections on to one address.
pub struct Proxy {
    address: SocketAddr,
    /// Number of connections that were opened.
    opened: AtomicU64,
    /// Number of the last connection that is silent for good.
    silent: AtomicU64,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let proxy = Arc::new(Self {
            address: listener.local_addr()?,
            opened: AtomicU64::new(0),
            silent: AtomicU64::new(0),
        });
        let accepting = proxy.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(target) else { continue };
                let number = accepting.opened.fetch_add(1, Ordering::SeqCst) + 1;
                for (from, to) in [(&near, &far), (&far, &near)] {
                    let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { continue };
                    let proxy = accepting.clone();
                    thread::spawn(move || proxy.pass(number, from, to));
                }
            }
        });
        Ok(proxy)
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Lets all open connections go silent for good. Nothing is reset; new connections work.
    pub fn silence_open(&self) {
        self.silent.store(self.opened.load(Ordering::SeqCst), Ordering::SeqCst);
    }

    fn pass(&self, number: u64, mut from: TcpStream, mut to: TcpStream) {
        // Delays of the kernel would add to those of the network.
        let _ = to.set_nodelay(true);
        let mut buffer = [0; 65_536];
        loop {
            let read = from.read(&mut buffer).unwrap_or(0);
            if number <= self.silent.load(Ordering::SeqCst) {
                if read == 0 {
                    return;
                }
                continue;
            }
            if read == 0 || to.write_all(&buffer[..read]).is_err() {
                // The other side may have closed it already.
                let _ = to.shutdown(Shutdown::Both);
                let _ = from.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}
