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
	Answer    func(r Request) [][]string         // may be nil: a result of one row, on two pages
	ReadDelay func(connection int) time.Duration // by how much it reads a connection late, counted from 0; nil: no one

	mutex    sync.Mutex
	requests []Request
	conns    []net.Conn
}

// NewEngine listens on an address.
func NewEngine(address string, answer func(Request) [][]string) (*Engine, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("engine: %w", err)
	}
	return NewEngineFromListener(l, answer), nil
}

// NewEngineFromListener takes connections from a listener that is there.
func NewEngineFromListener(l net.Listener, answer func(Request) [][]string) *Engine {
	e := &Engine{Listener: l, Answer: answer}
	e.Start()
	return e
}

// Start has it take connections. Its fields are set before.
func (e *Engine) Start() {
	if e.Answer == nil {
		e.Answer = ToyAnswer
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

// ToyAnswer answers each fetch with a result of two pages after some milliseconds.
func ToyAnswer(r Request) [][]string {
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

// Requests gives the commands so far that begin with a word.
func (e *Engine) Requests(word string) (out []Request) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, r := range e.requests {
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

// Shutdown closes all its connections, and it takes no more.
func (e *Engine) Shutdown() {
	e.Close()
	e.CloseConnections()
}

// CloseConnections closes all its connections.
func (e *Engine) CloseConnections() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, c := range e.conns {
		c.Close()
	}
}

func (e *Engine) serve(c net.Conn, number int) {
	defer c.Close()
	in := bufio.NewReader(c)
	if e.ReadDelay != nil {
		if by := e.ReadDelay(number); by > 0 {
			in = bufio.NewReader(newDelayedReader(c, by))
		}
	}
	var writing sync.Mutex
	for {
		r, err := readArray(in)
		if err != nil || len(r) < 2 {
			return
		}
		e.mutex.Lock()
		e.requests = append(e.requests, r)
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

// NameService is the name service: it answers each query with the whole list.
type NameService struct {
	net.PacketConn

	mutex        sync.Mutex
	hosts        []Host
	serial       uint32
	firstDrained map[string]time.Time // when an answer first said so, by id
	pending      []pendingQuery       // not answered yet, the oldest first
	lag          int                  // each waits until so many more have come
	withheld     bool                 // none is answered
	nextList     *EngineList          // answers the next query, unless nil
	earlierLists []EngineList         // lists that were in force, the oldest first
	staleChance  float64              // that one of those answers a query
	random       func() float64       // of chance
	answerCount  int                  // sent so far
}

// EngineList is a list of engines as the name service had it at some time.
type EngineList struct {
	hosts  []Host
	serial uint32
}

// pendingQuery is a query and who asked it.
type pendingQuery struct {
	query []byte
	from  net.Addr
}

// NewNameService listens on an address.
func NewNameService(address string) (*NameService, error) {
	c, err := net.ListenPacket("udp", address)
	if err != nil {
		return nil, fmt.Errorf("name service: %w", err)
	}
	n := &NameService{PacketConn: c, firstDrained: map[string]time.Time{}}
	go func() {
		buf := make([]byte, 512)
		for {
			size, from, err := c.ReadFrom(buf)
			if err != nil {
				return
			}
			if size > 12 {
				n.enqueue(pendingQuery{append([]byte(nil), buf[:size]...), from})
			}
		}
	}()
	return n, nil
}

// CurrentList gives the list as it is.
func (n *NameService) CurrentList() EngineList {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return EngineList{n.hosts, n.serial}
}

// ResetSerial begins the numbers anew with 1, as for a router that has started again.
func (n *NameService) ResetSerial() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.archiveList()
	n.serial = 1
}

// AnswerNextWith has the next query answered with a list of before, under its number of then.
func (n *NameService) AnswerNextWith(before EngineList) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.nextList = &before
}

// AnswerCount tells how many answers were sent.
func (n *NameService) AnswerCount() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.answerCount
}

// SetLag makes the service slow: from now on a query is answered once so many more have come, with the list as it is then.
func (n *NameService) SetLag(queries int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.lag = queries
	n.answerPending()
}

// SetWithheld keeps all answers back, or sends those that wait, with the list as it is then.
func (n *NameService) SetWithheld(withhold bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.withheld = withhold
	n.answerPending()
}

// PendingQueries tells how many queries are not answered yet.
func (n *NameService) PendingQueries() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return len(n.pending)
}

func (n *NameService) enqueue(q pendingQuery) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.pending = append(n.pending, q)
	n.answerPending()
}

func (n *NameService) answerPending() {
	for !n.withheld && len(n.pending) > n.lag {
		q := n.pending[0]
		n.pending = n.pending[1:]
		list := EngineList{n.hosts, n.serial}
		switch {
		case n.nextList != nil:
			list, n.nextList = *n.nextList, nil
		case len(n.earlierLists) > 0 && n.staleChance > 0 && n.random() < n.staleChance:
			list = n.earlierLists[int(n.random()*float64(len(n.earlierLists)))]
		}
		n.answerCount++
		n.WriteTo(n.encodeAnswer(q.query, list), q.from) //nolint:errcheck
	}
}

// Set makes a new list, which is the next event.
func (n *NameService) Set(hosts ...Host) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.archiveList()
	n.hosts, n.serial = hosts, n.serial+1
}

const maxEarlierLists = 8 // lists that are kept for old answers

func (n *NameService) archiveList() {
	if n.earlierLists = append(n.earlierLists, EngineList{n.hosts, n.serial}); len(n.earlierLists) > maxEarlierLists {
		n.earlierLists = n.earlierLists[1:]
	}
}

// SetStaleAnswers has a part of the queries, by chance, answered with a list of before: as it was, under its number of then, be it of
// before the router's start. The chances are drawn by draw, between 0 and 1.
func (n *NameService) SetStaleAnswers(chance float64, draw func() float64) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.staleChance, n.random = chance, draw
}

// CopyFrom goes on with the numbers of another: the same service, at another address.
func (n *NameService) CopyFrom(other *NameService) {
	other.mutex.Lock()
	hosts, serial, drains := other.hosts, other.serial, maps.Clone(other.firstDrained)
	before, chance, draw := slices.Clone(other.earlierLists), other.staleChance, other.random
	other.mutex.Unlock()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.hosts, n.serial, n.firstDrained = hosts, serial, drains
	n.earlierLists, n.staleChance, n.random = before, chance, draw
}

// StartupEvents gives the list as a router's configuration tells it at a start: one event that holds all of it.
func (n *NameService) StartupEvents() any {
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

// FirstDrained gives when a router was first told that an engine drains, by the engine's id.
func (n *NameService) FirstDrained() map[string]time.Time {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return maps.Clone(n.firstDrained)
}

func (n *NameService) encodeAnswer(query []byte, list EngineList) []byte {
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
			if _, told := n.firstDrained[h.ID]; !told {
				n.firstDrained[h.ID] = time.Now()
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

// ResponseFrame is one frame from the router.
type ResponseFrame struct {
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

// EncodeFrame makes a frame; fields are names and values in turn, and none at all leaves out their count.
func EncodeFrame(kind uint8, stream uint32, fields []string, body string) []byte {
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

// SendBatch sends a batch.
func (c *Client) SendBatch(stream uint32, group, id string, left time.Duration, text string) error {
	fields := []string{"c", group, "i", id, "d", strconv.Itoa(int(left.Milliseconds()))}
	_, err := c.Write(EncodeFrame(10, stream, fields, text))
	return err
}

// ReadFrame reads the next frame.
func (c *Client) ReadFrame(within time.Duration) (ResponseFrame, error) {
	c.SetReadDeadline(time.Now().Add(within)) //nolint:errcheck
	var head [9]byte
	if _, err := io.ReadFull(c, head[:]); err != nil {
		return ResponseFrame{}, err
	}
	rest := make([]byte, int(binary.LittleEndian.Uint32(head[:]))-5)
	if _, err := io.ReadFull(c, rest); err != nil {
		return ResponseFrame{}, err
	}
	a := ResponseFrame{Type: head[4], Stream: binary.LittleEndian.Uint32(head[5:]), Fields: map[string]string{}}
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
