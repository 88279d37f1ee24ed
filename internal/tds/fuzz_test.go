package tds

import (
	"testing"

	"pitchfield/internal/buffers"
	"pitchfield/internal/rows"
	"pitchfield/internal/traffic"
)

// feedInHalves delivers bytes in two pieces, so that the reader also sees incomplete input.
func feedInHalves(pool *buffers.Pool, b []byte, read func(in *buffers.Chain) bool) {
	in := pool.Chain()
	for _, piece := range [][]byte{b[:len(b)/2], b[len(b)/2:]} {
		in.Write(piece)
		for read(in) {
		}
	}
	in.Release()
}

// FuzzPrelogin parses any bytes as a PRELOGIN.
func FuzzPrelogin(f *testing.F) {
	f.Add(appendPrelogin(nil, prelogin{encryption: encryptNotSupported}))
	f.Fuzz(func(_ *testing.T, b []byte) { parsePrelogin(b) }) //nolint:errcheck
}

// FuzzLogin parses any bytes as a LOGIN7 and checks the bound of the user name.
func FuzzLogin(f *testing.F) {
	f.Add(appendLogin(login{packetSize: 4096, host: "h", user: "ann", password: "p", appName: "a", database: "sales"}))
	f.Fuzz(func(t *testing.T, b []byte) {
		if l, err := parseLogin(b); err == nil && len(l.user) > 4*maxLoginChars {
			t.Fatal("the user name exceeds its bound")
		}
	})
}

// FuzzBatch parses any bytes as a batch request.
func FuzzBatch(f *testing.F) {
	f.Add(appendUTF16(appendAllHeaders(nil), "SELECT 1 -- č"))
	f.Fuzz(func(_ *testing.T, b []byte) { parseBatch(b) }) //nolint:errcheck
}

// FuzzRPC parses any bytes as an RPC request. Its parameters must have literals.
func FuzzRPC(f *testing.F) {
	f.Add(appendExecuteSQL(nil, "SELECT @a", []rows.Parameter{{Column: rows.Column{Name: "@a", Type: rows.Type{Kind: rows.Int32}}, Value: appendU32(nil, 7)}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		c, err := parseRPC(b)
		if err != nil {
			return
		}
		for _, p := range c.parameters {
			if _, err := rows.Literal(p.Parameter); err != nil && p.Kind != rows.Text {
				t.Fatalf("%s: %s", p.Kind, err)
			}
		}
	})
}

// FuzzValue reads a type and a value, writes both with this package, and reads the result again.
func FuzzValue(f *testing.F) {
	f.Add([]byte{typeIntN, 4, 4, 1, 2, 3, 4})
	f.Add([]byte{typeNVarChar, 0xFF, 0xFF, 9, 4, 0xD0, 0, 0x34, 4, 0, 0, 0, 0, 0, 0, 0, 4, 0, 0, 0, 'a', 0, 'b', 0, 0, 0, 0, 0})
	f.Add([]byte{typeDecimalN, 17, 38, 10, 5, 1, 1, 2, 3, 4})
	f.Add([]byte{typeVarChar, 10, 0, 5, 4, 0xD0, 0, 0x34, 2, 0, 0xC8, 0x9A})
	f.Fuzz(func(t *testing.T, b []byte) {
		c := cursor{buf: b}
		info := c.typeInfo()
		var scratch []byte
		v := c.value(&info, &scratch)
		if c.err != nil || v != nil && info.Validate(v) != nil {
			return
		}
		want := append([]byte(nil), v...)
		again := cursor{buf: appendValue(appendType(nil, info.Type), info.Type, v)}
		w2 := again.typeInfo()
		got := again.value(&w2, &scratch)
		if again.err != nil || (got == nil) != (v == nil) || string(got) != string(want) || again.remaining() != 0 {
			t.Fatalf("%v %q became %q, %v", info.Type, want, got, again.err)
		}
	})
}

// FuzzSession sends any bytes as a client, before and after the login. All buffers must be released.
func FuzzSession(f *testing.F) {
	f.Add([]byte{0x12, 1, 0, 8, 0, 0, 1, 0}, false)
	pair := newPair(f)
	pair.engine.phase = running
	pair.engine.Send(pair.toSession, "q", "SELECT a", nil)
	f.Add(pair.toSession.Bytes(), true)
	f.Fuzz(func(t *testing.T, b []byte, in bool) {
		pair := newPair(t)
		if in {
			pair.login()
		}
		out := pair.pool.Chain()
		feedInHalves(pair.pool, b, func(in *buffers.Chain) bool {
			event, err := pair.session.Read(in, out)
			if a, is := event.(*traffic.BatchRequest); is {
				a.Batch.Text.Release()
				pair.session.Encode(out, &traffic.Answer{Stream: a.Stream, Code: traffic.Failed})
			}
			if v, is := event.(*traffic.Verify); is {
				v.Done(v.Run(), out) //nolint:errcheck
			}
			return event != nil && err == nil
		})
		out.Release()
		pair.session.DropPartial(pair.pool.Chain()) // as at the end of the connection
		if pair.pool.InUse() != 0 {
			t.Fatal("buffers were not released")
		}
	})
}

// FuzzDroppedMessage drops what is incomplete of any bytes of a client, in the middle of them. Nothing of a message may be held after
// that, and all buffers must be released at the end.
func FuzzDroppedMessage(f *testing.F) {
	pair := newPair(f)
	pair.engine.phase = running
	pair.engine.Send(pair.toSession, "q", "SELECT a", nil)
	f.Add(pair.toSession.Bytes(), 20)
	f.Fuzz(func(t *testing.T, b []byte, cut int) {
		pair := newPair(t).login()
		cut = min(max(cut, 0), len(b))
		in := pair.pool.Chain()
		in.Write(b[:cut])
		pair.deliverToSession(in)
		events := len(pair.events)
		if pair.sessionErr == nil && events == 0 && !pair.session.DropPartial(in) {
			t.Fatal("the message can't be dropped")
		}
		if events == 0 && pair.sessionErr == nil && pair.pool.InUse() > 1 {
			t.Fatal("the message is still held")
		}
		in.Write(b[cut:])
		pair.deliverToSession(in)
		for _, event := range pair.events {
			if a, is := event.(*traffic.BatchRequest); is {
				a.Batch.Text.Release()
			}
		}
		in.Release()
		pair.toClient.Release()
		pair.session.DropPartial(in)
		if pair.pool.InUse() != 0 {
			t.Fatal("buffers were not released")
		}
	})
}

// FuzzEngine sends any bytes as an engine's response. All buffers must be released.
func FuzzEngine(f *testing.F) {
	pair := newPair(f).login()
	a := pair.query("SELECT a")
	pair.session.Encode(pair.toClient, &traffic.Answer{Stream: a.Stream, Rows: []rows.Part{textRows(pair.pool, "x", "yy")}})
	f.Add(pair.toClient.Bytes(), false)
	f.Add(pair.toClient.Bytes(), true)
	f.Fuzz(func(t *testing.T, b []byte, stop bool) {
		pair := newPair(t)
		pair.engine.phase, pair.engine.packetSize = idle, 600
		out := pair.pool.Chain()
		pair.engine.Send(out, "q", "SELECT a", nil)
		if stop {
			pair.engine.Encode(out, traffic.CancelDispatch{ID: "q"})
		}
		feedInHalves(pair.pool, b, func(in *buffers.Chain) bool {
			r, err := pair.engine.Read(in, out)
			if r != nil {
				columns := r.Rows.Columns
				if columns == nil {
					columns = pair.engine.resultColumns
				}
				if e := rows.Each(r.Rows, len(columns), func([][]byte) error { return nil }); e != nil {
					t.Fatal(e)
				}
				r.Rows.Release()
			}
			return r != nil && err == nil
		})
		out.Release()
		pair.engine.discardRows()
		if pair.pool.InUse() != 0 {
			t.Fatal("buffers were not released")
		}
	})
}
