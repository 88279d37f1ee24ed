package reactor

import (
	"errors"
	"fmt"
	"net"
	"net/netip"

	"golang.org/x/sys/unix"
)

const maxDatagramsPerCall = 64 // of one socket in a row

// DatagramSocket is a UDP socket. An error of it, as where nobody listens at the other end, does not end it.
type DatagramSocket struct {
	registration
	reactor   *Reactor
	peer      netip.AddrPort // of a connected socket
	onReceive func(data []byte, from netip.AddrPort)
}

// ListenDatagrams takes datagrams at an address, from anybody.
func (r *Reactor) ListenDatagrams(address string, received func(data []byte, from netip.AddrPort)) (*DatagramSocket, error) {
	at, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	fd, err := bindSocket(unix.SOCK_DGRAM, socketAddress(at.AddrPort()))
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return r.newDatagramSocket(fd, netip.AddrPort{}, received), nil
}

// ConnectDatagrams sends datagrams to an address, and takes them from there alone.
func (r *Reactor) ConnectDatagrams(address string, received func(data []byte, from netip.AddrPort)) (*DatagramSocket, error) {
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
	return r.newDatagramSocket(fd, to.AddrPort(), received), nil
}

func (r *Reactor) newDatagramSocket(fd int, peer netip.AddrPort, received func([]byte, netip.AddrPort)) *DatagramSocket {
	d := &DatagramSocket{registration: registration{fd: fd, interest: unix.EPOLLIN}, reactor: r, peer: peer, onReceive: received}
	r.add(d)
	return d
}

// Close closes the socket.
func (d *DatagramSocket) Close() { d.reactor.closeDescriptor(d) }

// Send sends to where it is connected. A datagram that can't be sent is lost, as on the way.
func (d *DatagramSocket) Send(data []byte) error { return d.send(data, nil) }

// SendTo sends to an address.
func (d *DatagramSocket) SendTo(data []byte, to netip.AddrPort) error {
	return d.send(data, socketAddress(to))
}

func (d *DatagramSocket) send(data []byte, to unix.Sockaddr) (err error) {
	for range maxAttempts { // a connected socket tells of an earlier datagram's end first
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

func (d *DatagramSocket) handleEvents(uint32) { d.Receive() }

func (d *DatagramSocket) tryIO() { d.Receive() }

// Receive takes in what has come by now. The loop does so by itself; it is for whoever can't wait for that.
func (d *DatagramSocket) Receive() {
	for range maxDatagramsPerCall {
		if d.closed {
			return
		}
		n, from, err := d.readDatagram()
		switch {
		case err == nil:
			d.reactor.progress = true
			d.onReceive(d.reactor.readBuffer[:n], from)
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.ECONNREFUSED): // of a datagram that was sent
			d.reactor.progress = true
		default:
			d.reactor.reportFailure("recvfrom", err)
			return
		}
	}
}

// readDatagram reads one datagram. On a connected socket its address is known, and not asked for: that is a system call more.
func (d *DatagramSocket) readDatagram() (n int, from netip.AddrPort, err error) {
	if d.peer.IsValid() {
		n, err = unix.Read(d.fd, d.reactor.readBuffer)
		return n, d.peer, err //nolint:wrapcheck // judged by the caller
	}
	n, address, err := unix.Recvfrom(d.fd, d.reactor.readBuffer, 0)
	return n, addrPortOf(address), err //nolint:wrapcheck // the same
}

func addrPortOf(from unix.Sockaddr) netip.AddrPort {
	switch a := from.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr).Unmap(), uint16(a.Port))
	}
	return netip.AddrPort{}
}
