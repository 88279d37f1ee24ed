// Package standin plays what a router talks to, by the protocol's page: engines, the name service and a client. It is
// for the example and the integration tests; it neither decides nor measures anything.
package standin

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Request is one command as it came to an engine.
type Request []string

// Engine is a toy engine: it answers what Answer gives, in RESP.
type Engine struct {
	net.Listener
	Answer func(r Request) [][]string         // may be nil: a result of one row, on two pages
	Late   func(connection int) time.Duration // by how much it reads a connection late, counted from 0; nil: no one

	mutex sync.Mutex
	seen  []Request
	conns []net.Conn
}

// NewEngine listens on an address.
func NewEngine(address string, answer func(Request) [][]string) (*Engine, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("engine: %w", err)
	}
	return EngineOn(l, answer), nil
}

// EngineOn takes connections from a listener that is there.
func EngineOn(l net.Listener, answer func(Request) [][]string) *Engine {
	e := &Engine{Listener: l, Answer: answer}
	e.Start()
	return e
}

// Start has it take connections. Its fields are set before.
func (e *Engine) Start() {
	if e.Answer == nil {
		e.Answer = Toy
	}
	go func() {
		for {
			c, err := e.Accept()
			if err != nil {
				return
			}
			e.mutex.Lock()
			number := len(e.conns)
			e.conns = append(e.conns, c)
			e.mutex.Unlock()
			go e.serve(c, number)
		}
	}()
}

// Toy answers each fetch with a result of two pages after some milliseconds.
func Toy(r Request) [][]string {
	switch r[0] {
	case "fetch":
		time.Sleep(20 * time.Millisecond)
		return [][]string{{r[1], "DONE", "sheets=2,toil=20,room=8", "hello\tfrom\tpage 0\n"}}
	case "more":
		return [][]string{{r[1], "MORE", "sheet=" + r[2], "hello\tfrom\tpage " + r[2] + "\n"}}
	case "alive", "stats":
		return [][]string{{r[1], "FIT", "use=queue:0;x0:0.1;x1:0.1", ""}}
	}
	return nil
}

// Seen gives the commands so far that begin with a word.
func (e *Engine) Seen(word string) (out []Request) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, r := range e.seen {
		if r[0] == word {
			out = append(out, r)
		}
	}
	return out
}

// Connections tells how many connections it has taken so far.
func (e *Engine) Connections() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return len(e.conns)
}

// Drop closes all its connections, and it takes no more.
func (e *Engine) Drop() {
	e.Close()
	e.Cut()
}

// Cut closes all its connections.
func (e *Engine) Cut() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, c := range e.conns {
		c.Close()
	}
}

func (e *Engine) serve(c net.Conn, number int) {
	defer c.Close()
	in := bufio.NewReader(c)
	if e.Late != nil {
		if by := e.Late(number); by > 0 {
			in = bufio.NewReader(readLate(c, by))
		}
	}
	var writing sync.Mutex
	for {
		r, err := readArray(in)
		if err != nil || len(r) < 2 {
			return
		}
		e.mutex.Lock()
		e.seen = append(e.seen, r)
		e.mutex.Unlock()
		go func() {
			for _, answer := range e.Answer(r) {
				writing.Lock()
				fmt.Fprintf(c, "*%d\r\n", len(answer))
				for _, s := range answer {
					fmt.Fprintf(c, "$%d\r\n%s\r\n", len(s), s)
				}
				writing.Unlock()
			}
		}()
	}
}

func readArray(in *bufio.Reader) (Request, error) {
	number := func(mark byte) (int, error) {
		line, err := in.ReadString('\n')
		if err != nil {
			return 0, err
		}
		if len(line) < 3 || line[0] != mark {
			return 0, fmt.Errorf("%q", line)
		}
		return strconv.Atoi(strings.TrimSpace(line[1:]))
	}
	n, err := number('*')
	if err != nil {
		return nil, err
	}
	var out Request
	for range n {
		size, err := number('$')
		if err != nil {
			return nil, err
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(in, b); err != nil {
			return nil, err
		}
		out = append(out, string(b[:size]))
	}
	return out, nil
}

// Host is one line of the name service's list.
type Host struct {
	ID, Zone, Kind string
	Address        string // an IPv4 address and a port
	Draining       bool
	Started        int64 // Unix milliseconds of a late start; 0: long ago
}

// Names is the name service: it answers each query with the whole list.
type Names struct {
	net.PacketConn

	mutex    sync.Mutex
	hosts    []Host
	serial   uint32
	drains   map[string]time.Time // when an answer first said so, by id
	waiting  []question           // not answered yet, the oldest first
	behind   int                  // each waits until so many more have come
	withhold bool                 // none is answered
	stale    *List                // answers the next query, unless nil
	before   []List               // lists that were in force, the oldest first
	chance   float64              // that one of those answers a query
	draw     func() float64       // of chance
	answers  int                  // sent so far
}

// List is a list of engines as the name service had it at some time.
type List struct {
	hosts  []Host
	serial uint32
}

// question is a query and who asked it.
type question struct {
	query []byte
	from  net.Addr
}

// NewNames listens on an address.
func NewNames(address string) (*Names, error) {
	c, err := net.ListenPacket("udp", address)
	if err != nil {
		return nil, fmt.Errorf("name service: %w", err)
	}
	n := &Names{PacketConn: c, drains: map[string]time.Time{}}
	go func() {
		buf := make([]byte, 512)
		for {
			size, from, err := c.ReadFrom(buf)
			if err != nil {
				return
			}
			if size > 12 {
				n.asked(question{append([]byte(nil), buf[:size]...), from})
			}
		}
	}()
	return n, nil
}

// Now gives the list as it is.
func (n *Names) Now() List {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return List{n.hosts, n.serial}
}

// Renumber begins the numbers anew with 1, as for a router that has started again.
func (n *Names) Renumber() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.keep()
	n.serial = 1
}

// Stale has the next query answered with a list of before, under its number of then.
func (n *Names) Stale(before List) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.stale = &before
}

// Answers tells how many answers were sent.
func (n *Names) Answers() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.answers
}

// Behind makes the service slow: from now on a query is answered once so many more have come, with the list as it is then.
func (n *Names) Behind(queries int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.behind = queries
	n.reply()
}

// Withhold keeps all answers back, or sends those that wait, with the list as it is then.
func (n *Names) Withhold(withhold bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.withhold = withhold
	n.reply()
}

// Waiting tells how many queries are not answered yet.
func (n *Names) Waiting() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return len(n.waiting)
}

func (n *Names) asked(q question) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.waiting = append(n.waiting, q)
	n.reply()
}

func (n *Names) reply() {
	for !n.withhold && len(n.waiting) > n.behind {
		q := n.waiting[0]
		n.waiting = n.waiting[1:]
		list := List{n.hosts, n.serial}
		switch {
		case n.stale != nil:
			list, n.stale = *n.stale, nil
		case len(n.before) > 0 && n.chance > 0 && n.draw() < n.chance:
			list = n.before[int(n.draw()*float64(len(n.before)))]
		}
		n.answers++
		n.WriteTo(n.answer(q.query, list), q.from) //nolint:errcheck
	}
}

// Set makes a new list, which is the next event.
func (n *Names) Set(hosts ...Host) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.keep()
	n.hosts, n.serial = hosts, n.serial+1
}

const mostBefore = 8 // lists that are kept for old answers

func (n *Names) keep() {
	if n.before = append(n.before, List{n.hosts, n.serial}); len(n.before) > mostBefore {
		n.before = n.before[1:]
	}
}

// Old has a part of the queries, by chance, answered with a list of before: as it was, under its number of then, be it of
// before the router's start. The chances are drawn by draw, between 0 and 1.
func (n *Names) Old(chance float64, draw func() float64) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.chance, n.draw = chance, draw
}

// From goes on with the numbers of another: the same service, at another address.
func (n *Names) From(other *Names) {
	other.mutex.Lock()
	hosts, serial, drains := other.hosts, other.serial, maps.Clone(other.drains)
	before, chance, draw := slices.Clone(other.before), other.chance, other.draw
	other.mutex.Unlock()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.hosts, n.serial, n.drains = hosts, serial, drains
	n.before, n.chance, n.draw = before, chance, draw
}

// Known gives the list as a router's configuration tells it at a start: one event that holds all of it.
func (n *Names) Known() any {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	instances := []map[string]any{}
	for _, h := range n.hosts {
		state := "Ready"
		if h.Draining {
			state = "Terminating"
		}
		instances = append(instances, map[string]any{"instanceId": h.ID, "hostPort": h.Address, "zone": h.Zone,
			"machineType": h.Kind, "cell": 0, "lifecycle": state, "weight": 1, "startedAtMs": h.Started})
	}
	return map[string]any{"pos": n.serial, "entries": []any{map[string]any{"pos": n.serial,
		"hosts": map[string]any{"generation": 1, "reset": true, "instances": instances}}}}
}

// Drains gives when a router was first told that an engine drains, by the engine's id.
func (n *Names) Drains() map[string]time.Time {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return maps.Clone(n.drains)
}

func (n *Names) answer(query []byte, list List) []byte {
	u16 := binary.BigEndian.AppendUint16
	name := func(out []byte, s string) []byte {
		for _, label := range strings.Split(s, ".") {
			out = append(append(out, byte(len(label))), label...)
		}
		return append(out, 0)
	}
	record := func(out []byte, owner string, kind uint16, data []byte) []byte {
		out = u16(u16(name(out, owner), kind), 1)
		return append(u16(append(out, 0, 0, 0, 0), uint16(len(data))), data...)
	}
	out := append([]byte{query[0], query[1], 0x84, 0, 0, 1}, 0, 0, 0, 1, 0, 0)
	binary.BigEndian.PutUint16(out[6:], uint16(len(list.hosts)))
	binary.BigEndian.PutUint16(out[10:], uint16(2*len(list.hosts)))
	out = append(out, query[12:]...)
	var more []byte
	for _, h := range list.hosts {
		target := h.ID + "." + h.Zone + ".hosts"
		ip, port, _ := net.SplitHostPort(h.Address)
		p, _ := strconv.Atoi(port)
		state := uint16(0)
		if h.Draining {
			state = 1
			if _, told := n.drains[h.ID]; !told {
				n.drains[h.ID] = time.Now()
			}
		}
		out = record(out, "_rpc._tcp.mesh.local", 33, name(u16(u16(u16(nil, state), 10), uint16(p)), target))
		more = record(more, target, 1, net.ParseIP(ip).To4())
		var text []byte
		for _, s := range []string{"kind=" + h.Kind, "cell=0", fmt.Sprint("started=", h.Started)} {
			text = append(append(text, byte(len(s))), s...)
		}
		more = record(more, target, 16, text)
	}
	soa := binary.BigEndian.AppendUint32([]byte{0, 0}, list.serial)
	out = record(out, "mesh.local", 6, append(soa, make([]byte, 16)...))
	return append(out, more...)
}

// Answer is one frame from the router.
type Answer struct {
	Type   uint8
	Stream uint32
	Code   uint8
	Fields map[string]string
	Body   string
}

// Client speaks frames on one connection.
type Client struct{ net.Conn }

// Dial connects to a router.
func Dial(address string) (*Client, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, fmt.Errorf("client: %w", err)
	}
	return &Client{c}, nil
}

// Frame makes a frame; fields are names and values in turn, and none at all leaves out their count.
func Frame(kind uint8, stream uint32, fields []string, body string) []byte {
	var payload []byte
	if fields != nil {
		payload = append(payload, byte(len(fields)/2))
		for i := 0; i+1 < len(fields); i += 2 {
			payload = append(append(payload, byte(len(fields[i]))), fields[i]...)
			payload = binary.LittleEndian.AppendUint16(payload, uint16(len(fields[i+1])))
			payload = append(payload, fields[i+1]...)
		}
	}
	payload = append(payload, body...)
	out := binary.LittleEndian.AppendUint32(nil, uint32(5+len(payload)))
	out = binary.LittleEndian.AppendUint32(append(out, kind), stream)
	return append(out, payload...)
}

// Ask sends a batch.
func (c *Client) Ask(stream uint32, group, id string, left time.Duration, text string) error {
	fields := []string{"c", group, "i", id, "d", strconv.Itoa(int(left.Milliseconds()))}
	_, err := c.Write(Frame(10, stream, fields, text))
	return err
}

// Next reads the next frame.
func (c *Client) Next(within time.Duration) (Answer, error) {
	c.SetReadDeadline(time.Now().Add(within)) //nolint:errcheck
	var head [9]byte
	if _, err := io.ReadFull(c, head[:]); err != nil {
		return Answer{}, err
	}
	rest := make([]byte, int(binary.LittleEndian.Uint32(head[:]))-5)
	if _, err := io.ReadFull(c, rest); err != nil {
		return Answer{}, err
	}
	a := Answer{Type: head[4], Stream: binary.LittleEndian.Uint32(head[5:]), Fields: map[string]string{}}
	if len(rest) < 2 {
		return a, nil
	}
	a.Code = rest[0]
	count, rest := int(rest[1]), rest[2:]
	for range count {
		name := string(rest[1 : 1+rest[0]])
		rest = rest[1+rest[0]:]
		size := binary.LittleEndian.Uint16(rest)
		a.Fields[name] = string(rest[2 : 2+size])
		rest = rest[2+size:]
	}
	a.Body = string(rest)
	return a, nil
}
