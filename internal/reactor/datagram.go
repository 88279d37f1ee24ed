package reactor

import (
	"errors"
	"fmt"
	"net"
	"net/netip"

	"golang.org/x/sys/unix"
)

const maxDatagramsPerCall = 64 // datagrams read from one socket in a row

// DatagramSocket is a UDP socket. Errors, such as ECONNREFUSED when nobody listens at the peer's port, do not close it. Only the
// loop may call its methods.
type DatagramSocket struct {
	registration
	reactor   *Reactor
	peer      netip.AddrPort // the peer of a connected socket; else invalid
	onReceive func(data []byte, from netip.AddrPort)
}

// ListenDatagrams opens a socket that receives datagrams at an address from any sender. The data passed to onReceive is valid
// only until it returns.
func (r *Reactor) ListenDatagrams(address string, onReceive func(data []byte, from netip.AddrPort)) (*DatagramSocket, error) {
	at, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	fd, err := bindSocket(unix.SOCK_DGRAM, socketAddress(at.AddrPort()))
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return r.newDatagramSocket(fd, netip.AddrPort{}, onReceive), nil
}

// ConnectDatagrams opens a socket that sends datagrams to an address and receives datagrams only from there. The data passed to
// onReceive is valid only until it returns.
func (r *Reactor) ConnectDatagrams(address string, onReceive func(data []byte, from netip.AddrPort)) (*DatagramSocket, error) {
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
	return r.newDatagramSocket(fd, to.AddrPort(), onReceive), nil
}

func (r *Reactor) newDatagramSocket(fd int, peer netip.AddrPort, onReceive func([]byte, netip.AddrPort)) *DatagramSocket {
	d := &DatagramSocket{registration: registration{fd: fd, interest: unix.EPOLLIN}, reactor: r, peer: peer, onReceive: onReceive}
	r.add(d)
	return d
}

// Close closes the socket.
func (d *DatagramSocket) Close() { d.reactor.closeDescriptor(d) }

// Send sends a datagram to the connected peer. A datagram that can't be sent is dropped, as if the network had lost it.
func (d *DatagramSocket) Send(data []byte) error { return d.send(data, nil) }

// SendTo sends a datagram to an address.
func (d *DatagramSocket) SendTo(data []byte, to netip.AddrPort) error {
	return d.send(data, socketAddress(to))
}

func (d *DatagramSocket) send(data []byte, to unix.Sockaddr) (err error) {
	for range maxAttempts { // a connected socket first returns the pending error of an earlier datagram
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

// Receive reads the datagrams that have arrived, at most maxDatagramsPerCall. The loop calls it when the socket is readable;
// others call it to process datagrams without waiting for the loop.
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
		case errors.Is(err, unix.ECONNREFUSED): // caused by a datagram that was sent earlier
			d.reactor.progress = true
		default:
			d.reactor.reportFailure("recvfrom", err)
			return
		}
	}
}

// readDatagram reads one datagram and its sender. On a connected socket the sender is known, and a plain read saves the system
// call that decodes the address.
func (d *DatagramSocket) readDatagram() (n int, from netip.AddrPort, err error) {
	if d.peer.IsValid() {
		n, err = unix.Read(d.fd, d.reactor.readBuffer)
		return n, d.peer, err //nolint:wrapcheck // the caller classifies it
	}
	n, address, err := unix.Recvfrom(d.fd, d.reactor.readBuffer, 0)
	return n, addrPortOf(address), err //nolint:wrapcheck // as above
}

// addrPortOf converts a socket address; an unknown family gives the invalid address.
func addrPortOf(from unix.Sockaddr) netip.AddrPort {
	switch a := from.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr).Unmap(), uint16(a.Port))
	}
	return netip.AddrPort{}
}
