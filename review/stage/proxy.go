package stage

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Proxy is the way to an engine. While it is cut, open connections stay open and silent, and new ones never come up.
type Proxy struct {
	Address string

	s       *Stage
	target  string
	fd      int
	file    *os.File
	mutex   sync.Mutex
	cut     bool
	healed  chan struct{}
	fillers []net.Conn
	routers map[*net.TCPConn]int // connections of routers, by number
	count   int
}

const (
	proxyBuffer  = 32 << 10 // bytes that are under way on a connection
	proxyBacklog = 128
)

// StartProxy starts a way to an address.
func StartProxy(s *Stage, target string) (*Proxy, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, err
	}
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, proxyBuffer) //nolint:errcheck // more bytes are under way then
	if err := unix.Listen(fd, proxyBacklog); err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "proxy") // kept, as its end would close the socket
	l, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	p := &Proxy{Address: l.Addr().String(), s: s, target: target, fd: fd, file: file, healed: make(chan struct{}), routers: map[*net.TCPConn]int{}}
	s.AtEnd(func() { l.Close(); file.Close() })
	go func() {
		for {
			p.await()
			l.(*net.TCPListener).SetDeadline(time.Now().Add(5 * time.Millisecond)) //nolint:errcheck,forcetypeassert // it is one
			c, err := l.Accept()
			if timeout := (net.Error)(nil); errors.As(err, &timeout) && timeout.Timeout() {
				continue
			}
			if err != nil {
				return
			}
			go p.serve(c.(*net.TCPConn)) //nolint:forcetypeassert // it is one
		}
	}()
	return p, nil
}

// Cut cuts the way.
func (p *Proxy) Cut() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.cut = true
	// A listener whose queue is full answers nobody: a connection to it never comes up.
	if err := unix.Listen(p.fd, 0); err != nil {
		return err
	}
	time.Sleep(10 * time.Millisecond) // the last accept is over
	for range 3 {
		if c, err := net.DialTimeout("tcp", p.Address, 30*time.Millisecond); err == nil {
			p.fillers = append(p.fillers, c)
		}
	}
	if _, err := net.DialTimeout("tcp", p.Address, 30*time.Millisecond); err == nil {
		return errors.New("a connection comes up although the way is cut")
	}
	return nil
}

// Heal mends the way.
func (p *Proxy) Heal() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for c, n := range p.routers {
		p.s.Note("the way heals: on connection %d of the router %d bytes are under way", n, waiting(c))
	}
	for _, c := range p.fillers {
		c.Close()
	}
	p.fillers, p.cut = nil, false
	unix.Listen(p.fd, proxyBacklog) //nolint:errcheck // connections come up late then
	close(p.healed)
	p.healed = make(chan struct{})
}

// waiting returns the number of bytes that have come on a connection and are not read.
func waiting(c *net.TCPConn) (n int) {
	raw, err := c.SyscallConn()
	if err != nil {
		return -1
	}
	raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) }) //nolint:errcheck // a note only
	return n
}

func (p *Proxy) await() {
	for {
		p.mutex.Lock()
		cut, healed := p.cut, p.healed
		p.mutex.Unlock()
		if !cut {
			return
		}
		<-healed
	}
}

func (p *Proxy) serve(router *net.TCPConn) {
	engine, err := net.Dial("tcp", p.target)
	if err != nil {
		router.Close()
		return
	}
	p.mutex.Lock()
	p.count++
	p.routers[router] = p.count
	number := p.count
	p.mutex.Unlock()
	p.s.Note("connection %d of the router has come up on the way", number)
	go p.pass(router, engine)
	p.pass(engine, router)
	p.mutex.Lock()
	delete(p.routers, router)
	p.mutex.Unlock()
}

// pass hands on bytes of one direction until it ends.
func (p *Proxy) pass(from, to net.Conn) {
	buffer := make([]byte, 4096)
	for {
		p.await()
		from.SetReadDeadline(time.Now().Add(5 * time.Millisecond)) //nolint:errcheck // the read fails too
		n, err := from.Read(buffer)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if timeout := (net.Error)(nil); err != nil && !(errors.As(err, &timeout) && timeout.Timeout()) {
			break
		}
	}
	p.await()
	from.Close()
	to.Close()
}

// String names the proxy in errors.
func (p *Proxy) String() string { return fmt.Sprintf("way to %s", p.target) }
