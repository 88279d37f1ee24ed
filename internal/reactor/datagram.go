package reactor

import (
	"errors"
	"fmt"
	"net"
	"net/netip"

	"golang.org/x/sys/unix"
)

const mostDatagrams = 64 // of one socket in a row

// Datagrams is a UDP socket. An error of it, as where nobody listens at the other end, does not end it.
type Datagrams struct {
	registration
	reactor  *Reactor
	peer     netip.AddrPort // of a connected socket
	received func(data []byte, from netip.AddrPort)
}

// ListenDatagrams takes datagrams at an address, from anybody.
func (r *Reactor) ListenDatagrams(address string, received func(data []byte, from netip.AddrPort)) (*Datagrams, error) {
	at, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	fd, err := bound(unix.SOCK_DGRAM, socketAddress(at.AddrPort()))
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return r.datagrams(fd, netip.AddrPort{}, received), nil
}

// ConnectDatagrams sends datagrams to an address, and takes them from there alone.
func (r *Reactor) ConnectDatagrams(address string, received func(data []byte, from netip.AddrPort)) (*Datagrams, error) {
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	peer := socketAddress(to.AddrPort())
	fd, err := newSocket(unix.SOCK_DGRAM, peer)
	if err != nil {
		return nil, fmt.Errorf("socket: %w", err)
	}
	if err := unix.Connect(fd, peer); err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("connect: %w", err)
	}
	return r.datagrams(fd, to.AddrPort(), received), nil
}

func (r *Reactor) datagrams(fd int, peer netip.AddrPort, received func([]byte, netip.AddrPort)) *Datagrams {
	d := &Datagrams{registration: registration{fd: fd, wanted: unix.EPOLLIN}, reactor: r, peer: peer, received: received}
	r.add(d)
	return d
}

// Close closes the socket.
func (d *Datagrams) Close() { d.reactor.forget(d) }

// Send sends to where it is connected. A datagram that can't be sent is lost, as on the way.
func (d *Datagrams) Send(data []byte) error { return d.send(data, nil) }

// SendTo sends to an address.
func (d *Datagrams) SendTo(data []byte, to netip.AddrPort) error {
	return d.send(data, socketAddress(to))
}

func (d *Datagrams) send(data []byte, to unix.Sockaddr) (err error) {
	for range tries { // a connected socket tells of an earlier datagram's end first
		if to == nil {
			_, err = unix.Write(d.fd, data)
		} else {
			err = unix.Sendto(d.fd, data, unix.MSG_DONTWAIT, to)
		}
		if err == nil {
			return nil
		}
	}
	return fmt.Errorf("send: %w", err)
}

func (d *Datagrams) ready(uint32) { d.Receive() }

func (d *Datagrams) again() { d.Receive() }

// Receive takes in what has come by now. The loop does so by itself; it is for whoever can't wait for that.
func (d *Datagrams) Receive() {
	for range mostDatagrams {
		if d.closed {
			return
		}
		n, from, err := d.take()
		switch {
		case err == nil:
			d.reactor.progress = true
			d.received(d.reactor.buffer[:n], from)
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.ECONNREFUSED): // of a datagram that was sent
			d.reactor.progress = true
		default:
			d.reactor.failed("recvfrom", err)
			return
		}
	}
}

// take reads one datagram. On a connected socket its address is known, and not asked for: that is a system call more.
func (d *Datagrams) take() (n int, from netip.AddrPort, err error) {
	if d.peer.IsValid() {
		n, err = unix.Read(d.fd, d.reactor.buffer)
		return n, d.peer, err //nolint:wrapcheck // judged by the caller
	}
	n, address, err := unix.Recvfrom(d.fd, d.reactor.buffer, 0)
	return n, addressOf(address), err //nolint:wrapcheck // the same
}

func addressOf(from unix.Sockaddr) netip.AddrPort {
	switch a := from.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr).Unmap(), uint16(a.Port))
	}
	return netip.AddrPort{}
}
