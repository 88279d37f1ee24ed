package tds

import (
	"encoding/binary"
	"errors"
	"flag"
	"fmt"
	"math"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pitchfield/internal/assign"
	"pitchfield/internal/buffers"
	"pitchfield/internal/rows"
	"pitchfield/internal/traffic"
)

// The same draws every time; a hunt for more sets another -rapid.seed, or fuzzes.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		f.Value.Set("20261201") //nolint:errcheck
	}
	flag.Set("rapid.nofailfile", "true") //nolint:errcheck
	os.Exit(m.Run())
}

// connectedPair is a session and an engine's state that speak with each other, without sockets. Bytes may be cut anywhere.
type connectedPair struct {
	t                     require.TestingT
	pool                  *buffers.Pool
	session               *Session
	engine                *Engine
	toSession, toClient   *buffers.Chain
	chunkSize             func(n int) int // of n bytes that are there, how many come
	events                []traffic.ClientMessage
	replies               []*traffic.EngineReply
	sessionErr, engineErr error
}

func newPair(t require.TestingT) *connectedPair {
	pool := &buffers.Pool{}
	front := &Server{Pool: pool, Name: "here", Databases: []string{"sales", "stock"},
		Rules: func() *assign.Rules { return &assign.Rules{Default: &assign.BatchProperties{Group: "report"}} },
		Authenticate: func(user, password string) (string, error) {
			if password != "pässword" {
				return "", errors.New("no")
			}
			return "client of " + user, nil
		}}
	access := &EngineConfig{Pool: pool, User: "ann", Password: "pässword", Database: "sales", AppName: "test", PacketSize: 600,
		ProbeQuery: "SELECT 1", LoadQuery: "SELECT load", RejectionNumbers: []int32{ErrorNumberRejected}}
	return &connectedPair{t: t, pool: pool, session: front.NewSession(), engine: access.NewEngine(), toSession: pool.Chain(),
		toClient: pool.Chain(), chunkSize: func(n int) int { return n }}
}

// run passes bytes on until nothing moves.
func (k *connectedPair) run() {
	in, back := k.pool.Chain(), k.pool.Chain()
	for moved := true; moved; {
		moved = false
		for k.toSession.Len() > 0 {
			moved = true
			piece := k.toSession.Cut(max(k.chunkSize(k.toSession.Len()), 1))
			in.Append(piece)
			piece.Release()
			k.deliverToSession(in)
		}
		for k.toClient.Len() > 0 {
			moved = true
			piece := k.toClient.Cut(max(k.chunkSize(k.toClient.Len()), 1))
			back.Append(piece)
			piece.Release()
			for k.engineErr == nil {
				r, err := k.engine.Read(back, k.toSession)
				if k.engineErr = err; r == nil || err != nil {
					break
				}
				k.replies = append(k.replies, r)
			}
		}
	}
}

func (k *connectedPair) deliverToSession(in *buffers.Chain) {
	for k.sessionErr == nil {
		said, err := k.session.Read(in, k.toClient)
		if v, is := said.(*traffic.Verify); is {
			said, err = v.Done(v.Run(), k.toClient)
		}
		if k.sessionErr = err; said == nil || err != nil {
			return
		}
		k.events = append(k.events, said)
	}
}

func (k *connectedPair) login() *connectedPair {
	k.engine.Open(k.toSession)
	k.run()
	require.NoError(k.t, k.sessionErr)
	require.NoError(k.t, k.engineErr)
	require.Len(k.t, k.replies, 1)
	require.Equal(k.t, traffic.ReplyReady, k.replies[0].Kind)
	k.replies, k.events = nil, nil
	return k
}

// query sends a statement and gives the batch that the session made of it; nil: it has answered by itself.
func (k *connectedPair) query(text string, parameters ...rows.Parameter) *traffic.BatchRequest {
	k.replies, k.events = nil, nil
	k.engine.Send(k.toSession, "q", text, parameters)
	k.run()
	require.NoError(k.t, k.sessionErr)
	if len(k.events) == 0 {
		return nil
	}
	a, _ := k.events[len(k.events)-1].(*traffic.BatchRequest)
	return a
}

func (k *connectedPair) tellSession(what traffic.ClientReply) {
	k.session.Encode(k.toClient, what)
	k.run()
}

// result reads what came back: its rows as texts and the last reply.
func (k *connectedPair) result() (out []string, last *traffic.EngineReply) {
	require.NoError(k.t, k.engineErr)
	var columns []rows.Column
	for _, r := range k.replies {
		last = r
		if r.Rows.Columns != nil {
			columns = r.Rows.Columns
		}
		require.NoError(k.t, rows.Each(r.Rows, len(columns), func(row [][]byte) error {
			var one []string
			for i, v := range row {
				text, err := "NULL", error(nil)
				if v != nil {
					text, err = rows.Format(columns[i].Type, v)
				}
				require.NoError(k.t, err)
				one = append(one, text)
			}
			out = append(out, strings.Join(one, "|"))
			return nil
		}))
	}
	require.NotNil(k.t, last)
	return out, last
}

func textRows(pool *buffers.Pool, lines ...string) rows.Part {
	p := rows.Part{Encoding: rows.Values, Columns: []rows.Column{{Name: "a", Type: rows.Type{Kind: rows.Text}}}, Data: pool.Chain()}
	for _, l := range lines {
		rows.AppendValue(p.Data, []byte(l))
	}
	return p
}

// genType draws a type and genValue a value of it.
func genType(t *rapid.T) rows.Type {
	ty := rows.Type{Kind: rows.Kind(rapid.IntRange(0, int(rows.GUID)).Draw(t, "kind"))}
	switch ty.Kind {
	case rows.Decimal:
		ty.Precision = uint8(rapid.IntRange(1, 38).Draw(t, "precision"))
		ty.Scale = uint8(rapid.IntRange(0, int(ty.Precision)).Draw(t, "scale"))
	case rows.Time, rows.DateTime2, rows.DateTimeOffset:
		ty.Scale = uint8(rapid.IntRange(0, 7).Draw(t, "scale"))
	case rows.Text, rows.Bytes:
		ty.Size = rapid.SampledFrom([]int{0, 40, 4000, 9000}).Draw(t, "size")
	}
	return ty
}

func genValue(t *rapid.T, ty rows.Type) []byte {
	if rapid.IntRange(0, 3).Draw(t, "null") == 0 {
		return nil
	}
	little := func(n int, v uint64) []byte { return binary.LittleEndian.AppendUint64(nil, v)[:n] }
	clock := func() []byte {
		return little(rows.TimeSize(ty.Scale), rapid.Uint64Range(0, uint64(86400*math.Pow10(int(ty.Scale)))-1).Draw(t, "time"))
	}
	date := func() []byte { return little(3, rapid.Uint64Range(0, 3652058).Draw(t, "day")) }
	switch ty.Kind {
	case rows.Text:
		return []byte(rapid.StringN(0, 20, 40).Draw(t, "text"))
	case rows.Bytes:
		return append([]byte{}, rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "bytes")...)
	case rows.Decimal:
		v := rapid.SliceOfN(rapid.Byte(), 17, 17).Draw(t, "decimal")
		v[0] &= 1
		return v
	case rows.Date:
		return date()
	case rows.Time:
		return clock()
	case rows.DateTime2:
		return append(clock(), date()...)
	case rows.DateTimeOffset:
		return append(append(clock(), date()...), 60, 0)
	case rows.Float32:
		return little(4, uint64(math.Float32bits(float32(rapid.Float32Range(-1e9, 1e9).Draw(t, "real")))))
	case rows.Float64:
		return little(8, math.Float64bits(rapid.Float64Range(-1e9, 1e9).Draw(t, "float")))
	}
	return rapid.SliceOfN(rapid.Byte(), ty.FixedSize(), ty.FixedSize()).Draw(t, "raw")
}

// What goes in at one side comes out at the other, wherever the bytes are cut and however many columns have no value.
func TestResultsOfAllTypesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := newPair(t)
		k.chunkSize = func(n int) int { return rapid.IntRange(1, n).Draw(t, "cut") }
		k.login()
		a := k.query("SELECT a FROM sales_1.b")
		require.NotNil(t, a)
		a.Batch.Text.Release()
		var want [][]byte
		columns := make([]rows.Column, rapid.IntRange(1, 20).Draw(t, "columns"))
		for i := range columns {
			columns[i] = rows.Column{Name: fmt.Sprintf("č%d", i), Type: genType(t)}
		}
		part := rows.Part{Encoding: rows.Values, Columns: columns, Data: k.pool.Chain()}
		for range rapid.IntRange(0, 8).Draw(t, "rows") {
			for _, c := range columns {
				want = append(want, genValue(t, c.Type))
				rows.AppendValue(part.Data, want[len(want)-1])
			}
		}
		k.tellSession(&traffic.Rows{Stream: 1, Part: part})
		k.tellSession(&traffic.Answer{Stream: 1})
		part.Release()
		require.NoError(t, k.engineErr)
		require.Equal(t, traffic.ReplyComplete, k.replies[len(k.replies)-1].Kind)
		got := 0
		for _, r := range k.replies {
			for i, c := range r.Rows.Columns {
				require.Equal(t, columns[i].Name, c.Name)
				require.Equal(t, columns[i].Kind, c.Kind)
				require.Equal(t, columns[i].Scale, c.Scale)
			}
			require.NoError(t, rows.Each(r.Rows, len(columns), func(row [][]byte) error {
				for _, v := range row {
					require.Equal(t, want[got] == nil, v == nil)
					require.Equal(t, string(want[got]), string(v))
					got++
				}
				return nil
			}))
			r.Rows.Release()
		}
		require.Equal(t, len(want), got)
		require.Zero(t, k.pool.InUse())
	})
}

func TestParametersRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := newPair(t).login()
		var want []rows.Parameter
		for i := range rapid.IntRange(1, 6).Draw(t, "parameters") {
			p := rows.Parameter{Column: rows.Column{Name: fmt.Sprintf("@p%d", i), Type: genType(t)}}
			p.Value = genValue(t, p.Type)
			p.Null = p.Value == nil
			want = append(want, p)
		}
		a := k.query("SELECT @p0", want...)
		require.NotNil(t, a)
		require.NoError(t, a.Err)
		require.Len(t, a.Batch.Parameters, len(want))
		for i, p := range a.Batch.Parameters {
			require.Equal(t, want[i].Name, p.Name)
			require.Equal(t, want[i].Kind, p.Kind)
			require.Equal(t, want[i].Null, p.Null)
			require.Equal(t, string(want[i].Value), string(p.Value))
		}
		a.Batch.Text.Release()
	})
}

func TestSessionSettingsPrecedeBatchesUntilReset(t *testing.T) {
	k := newPair(t).login()
	assert.Nil(t, k.query("SET ANSI_NULLS ON; SET LOCK_TIMEOUT 500"))
	assert.Nil(t, k.query("USE stock"))
	assert.Nil(t, k.query("SET LOCK_TIMEOUT 900"), "the last of each counts")
	k.session.messageStatus = 0
	a := k.query("SELECT a FROM x_1.b")
	require.NotNil(t, a)
	// The engine's side resets with each request, as pools do: what was set is gone.
	assert.Empty(t, a.Batch.SessionSetup)
	assert.Equal(t, "sales", a.Batch.Database)
	k.tellSession(&traffic.Answer{Stream: a.Stream})
	plain := func(text string) *traffic.BatchRequest {
		k.events = nil
		writeMessage(k.toSession, packetBatch, 0, 600, appendUTF16(appendAllHeaders(nil), text))
		k.run()
		require.NoError(t, k.sessionErr)
		a, _ := k.events[len(k.events)-1].(*traffic.BatchRequest)
		return a
	}
	k.engine.beginRequest("x", false)
	assert.Nil(t, plain("SET ANSI_NULLS ON; SET LOCK_TIMEOUT 500"))
	k.engine.beginRequest("x", false)
	assert.Nil(t, plain("USE [stock]"))
	k.engine.beginRequest("x", false)
	a = plain("SET LOCK_TIMEOUT 900 SELECT a FROM x_1.b")
	require.NotNil(t, a)
	assert.Equal(t, "USE [stock]; SET ANSI_NULLS ON; SET LOCK_TIMEOUT 500; ", a.Batch.SessionSetup)
	assert.Empty(t, a.Batch.Database)
	k.tellSession(&traffic.Answer{Stream: a.Stream})
	k.engine.beginRequest("x", false)
	a = plain("SELECT a FROM x_1.b")
	assert.Equal(t, "USE [stock]; SET ANSI_NULLS ON; SET LOCK_TIMEOUT 900; ", a.Batch.SessionSetup)
}

func TestStatementsThatNeedAnEngineSessionAreRefused(t *testing.T) {
	k := newPair(t).login()
	for text, why := range map[string]string{"BEGIN TRAN": "transactions", "SELECT 1 INTO #t": "temporary", "COMMIT": "transactions",
		"SET NOCOUNT ON DECLARE c CURSOR FOR SELECT 1": "cursors", "INSERT BULK t (a int)": "bulk",
		"SET IMPLICIT_TRANSACTIONS ON": "transactions", "USE nowhere": "nowhere", "begin /* now */ transaction": "transactions"} {
		assert.Nil(t, k.query(text), text)
		_, last := k.result()
		assert.Equal(t, traffic.ReplyFailed, last.Kind)
		assert.Contains(t, last.Reason, why, text)
	}
	a := k.query("SELECT 'BEGIN TRAN #x' FROM sales_1.b -- COMMIT")
	require.NotNil(t, a, "words in strings and comments are none")
	k.tellSession(&traffic.Answer{Stream: a.Stream, Rows: []rows.Part{textRows(k.pool, "x")}})
	lines, last := k.result()
	assert.Equal(t, []string{"x"}, lines)
	assert.Equal(t, traffic.ReplyComplete, last.Kind)
}

func TestOutcomesAreReportedToTheClient(t *testing.T) {
	k := newPair(t).login()
	k.tellSession(&traffic.Answer{Stream: k.query("SELECT a").Stream, Code: traffic.Rejected, RetryAfter: 0.25})
	_, last := k.result()
	assert.Equal(t, traffic.ReplyOverloaded, last.Kind)
	assert.Contains(t, last.Reason, "after 250 ms")
	k.tellSession(&traffic.Answer{Stream: k.query("SELECT b").Stream, Code: traffic.Failed, Reason: "so it is"})
	_, last = k.result()
	assert.Equal(t, traffic.ReplyFailed, last.Kind)
	assert.Contains(t, last.Reason, "so it is")
	a := k.query("SELECT c")
	k.tellSession(&traffic.Rows{Stream: a.Stream, Part: textRows(k.pool, strings.Repeat("x", 5000))})
	k.tellSession(&traffic.Answer{Stream: a.Stream, Code: traffic.Failed, Reason: "the result is cut"})
	lines, last := k.result()
	assert.Len(t, lines, 1)
	assert.Equal(t, traffic.ReplyFailed, last.Kind, "a cut can be told from an end")
}

func TestAttentionIsAcknowledgedExactlyOnce(t *testing.T) {
	for _, crossed := range []bool{false, true} {
		k := newPair(t).login()
		a := k.query("SELECT a")
		if crossed { // the whole answer is on its way when the client gives up
			k.session.Encode(k.toClient, &traffic.Answer{Stream: a.Stream, Rows: []rows.Part{textRows(k.pool, "x")}})
		} else {
			k.session.Encode(k.toClient, &traffic.Rows{Stream: a.Stream, Part: textRows(k.pool, strings.Repeat("y", 3000))})
		}
		k.events = nil
		k.engine.Encode(k.toSession, traffic.CancelDispatch{ID: "q"})
		k.run()
		require.NoError(t, k.engineErr)
		require.Len(t, k.replies, 1)
		assert.Equal(t, traffic.ReplyReleased, k.replies[0].Kind)
		if crossed {
			assert.Equal(t, []traffic.ClientMessage{traffic.HandledLocally{}}, k.events)
		} else {
			assert.Equal(t, []traffic.ClientMessage{traffic.Cancel{Stream: a.Stream}}, k.events)
		}
		k.tellSession(&traffic.Answer{Stream: a.Stream})
		require.NoError(t, k.engineErr, "nothing more is said of it")
		b := k.query("SELECT b")
		require.NotNil(t, b, "the connection goes on")
		k.tellSession(&traffic.Answer{Stream: b.Stream, Rows: []rows.Part{textRows(k.pool, "z")}})
		lines, _ := k.result()
		assert.Equal(t, []string{"z"}, lines)
	}
}

func TestPreparedStatementHandles(t *testing.T) {
	k := newPair(t).login()
	call := func(proc uint16, fill func([]byte) []byte) *traffic.BatchRequest {
		k.events, k.replies = nil, nil
		k.engine.beginRequest("q", false)
		b := appendU16(appendU16(appendU16(appendAllHeaders(nil), nullLength), int(proc)), 0)
		writeMessage(k.toSession, packetRPC, 0, 600, fill(b))
		k.run()
		require.NoError(t, k.sessionErr)
		a, _ := k.events[len(k.events)-1].(*traffic.BatchRequest)
		return a
	}
	number := func(b []byte, v int, out byte) []byte {
		ty := rows.Type{Kind: rows.Int32}
		var value []byte
		if v > 0 {
			value = appendU32(nil, uint32(v))
		}
		return appendValue(appendType(append(b, 0, out), ty), ty, value)
	}
	text := func(b []byte, s string) []byte {
		ty := rows.Type{Kind: rows.Text}
		return appendValue(appendType(append(b, 0, 0), ty), ty, []byte(s))
	}
	assert.Nil(t, call(procPrepare, func(b []byte) []byte {
		return number(text(text(number(b, 0, 1), "@a int, @b decimal(9,2)"), "SELECT @a"), 1, 0)
	}))
	_, last := k.result()
	assert.Equal(t, traffic.ReplyComplete, last.Kind)
	execute := func(b []byte) []byte { return number(number(number(b, 1, 0), 7, 0), 8, 0) }
	a := call(procExecute, execute)
	require.NotNil(t, a)
	assert.Equal(t, []string{"@a", "@b"}, []string{a.Batch.Parameters[0].Name, a.Batch.Parameters[1].Name})
	k.tellSession(&traffic.Answer{Stream: a.Stream, Rows: []rows.Part{textRows(k.pool, "x")}})
	a = call(procPrepExec, func(b []byte) []byte { return number(text(text(number(b, 0, 1), "@a int"), "SELECT @a"), 7, 0) })
	require.NotNil(t, a)
	k.tellSession(&traffic.Answer{Stream: a.Stream, Rows: []rows.Part{textRows(k.pool, "x")}})
	lines, _ := k.result()
	assert.Equal(t, []string{"x"}, lines)
	assert.Nil(t, call(procUnprepare, func(b []byte) []byte { return number(b, 1, 0) }))
	assert.Nil(t, call(procExecute, execute))
	_, last = k.result()
	assert.Contains(t, last.Reason, "handle 1")
	assert.Nil(t, call(2, func(b []byte) []byte { return b }))
	_, last = k.result()
	assert.Contains(t, last.Reason, "cursors")
}

func TestLoginFailures(t *testing.T) {
	for name, change := range map[string]func(k *connectedPair){
		"password": func(k *connectedPair) { k.engine.config.Password = "other" },
		"database": func(k *connectedPair) { k.engine.config.Database = "nowhere" }} {
		k := newPair(t)
		change(k)
		k.engine.Open(k.toSession)
		k.run()
		assert.ErrorIs(t, k.engineErr, traffic.ErrLogin, name)
		assert.Error(t, k.sessionErr, name)
	}
	k := newPair(t) // insists on encryption, and goes on in spite of the answer
	writeMessage(k.toSession, packetPrelogin, 0, defaultPacketSize, appendPrelogin(nil, prelogin{encryption: encryptOn}))
	k.run()
	writeMessage(k.toSession, packetLogin7, 0, defaultPacketSize, appendLogin(login{user: "ann", password: "pässword"}))
	k.run()
	assert.ErrorContains(t, k.sessionErr, "encrypt")
}

// What can't be read ends the connection at most, and says so where anything can be said.
func TestMalformedInput(t *testing.T) {
	bad := []string{"GET / HTTP/1.1\r\n\r\n", "\x01\x01\x00\x03\x00\x00\x01\x00", "\x12\x01\xff\xff\x00\x00\x01\x00",
		"\x01\x01\x00\x08\x00\x00\x01\x00", "\x12\x01\x00\x0d\x00\x00\x01\x00\x00\x00\xff\x00\x06"}
	for _, text := range bad {
		k := newPair(t)
		k.toSession.WriteString(text)
		k.run()
		assert.Error(t, k.sessionErr, "%q", text)
	}
	k := newPair(t).login()
	k.query("SELECT a")
	writeMessage(k.toSession, packetBatch, 0, 600, appendUTF16(appendAllHeaders(nil), "SELECT b"))
	k.run()
	assert.ErrorContains(t, k.sessionErr, "before the one before")
	k.session.Encode(k.toClient, traffic.ConnectionError{Reason: "it can't be read"})
	k.run()
	_, last := k.result()
	assert.Contains(t, last.Reason, "it can't be read")
}

func TestOversizedStatementIsRefused(t *testing.T) {
	k := newPair(t).login()
	assert.Nil(t, k.query("SELECT '"+strings.Repeat("x", maxMessageSize)+"'"))
	_, last := k.result()
	assert.Contains(t, last.Reason, "more than")
	assert.NotNil(t, k.query("SELECT a"))
}

// An engine that sends a token without end is cut off at a bound.
func TestEndlessTokenIsAnError(t *testing.T) {
	k := newPair(t).login()
	k.engine.beginRequest("q", false)
	k.toClient.Write(append([]byte{4, 0, 0, 8 + 15, 0, 0, 1, 0}, 0x81, 1, 0, 0, 0, 0, 0, 1, 0, 0xA5, 0xFF, 0xFF, 1, 'b', 0))
	k.toClient.Write(append([]byte{4, 0, 0, 8 + 9, 0, 0, 1, 0}, 0xD1, 0xFE, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF))
	for sent := 0; sent < 2*maxTokenSize && k.engineErr == nil; sent += 30000 {
		piece := append(appendU32(nil, 29988), make([]byte, 29988)...)
		writeMessage(k.toClient, packetTabularResult, 0, 30008, piece)
		k.run()
	}
	assert.ErrorIs(t, k.engineErr, ErrProtocol)
}

func TestProbeReadsLoadReportByColumnName(t *testing.T) {
	k := newPair(t).login()
	k.engine.Encode(k.toSession, traffic.Probe{Tag: "p1", WantLoad: true})
	k.run()
	part := rows.Part{Encoding: rows.Values, Columns: []rows.Column{{Name: "Waiting", Type: rows.Type{Kind: rows.Int32}},
		{Name: "x0", Type: rows.Type{Kind: rows.Float64}}}, Data: k.pool.Chain()}
	rows.AppendValue(part.Data, appendU32(nil, 3))
	rows.AppendValue(part.Data, binary.LittleEndian.AppendUint64(nil, math.Float64bits(0.25)))
	a := k.events[len(k.events)-1].(*traffic.BatchRequest)
	k.tellSession(&traffic.Answer{Stream: a.Stream, Rows: []rows.Part{part}})
	require.NoError(t, k.engineErr)
	last := k.replies[len(k.replies)-1]
	assert.Equal(t, traffic.ReplyHealthy, last.Kind)
	assert.Equal(t, []float64{3, 0.25}, []float64{last.Load.Waiting, last.Load.Memory})
}
