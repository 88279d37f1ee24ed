package tds

import (
	"testing"

	"pitchfield/internal/buffers"
	"pitchfield/internal/rows"
	"pitchfield/internal/traffic"
)

// feedInHalves gives bytes in two pieces, so that what is cut is met too.
func feedInHalves(pool *buffers.Pool, b []byte, read func(in *buffers.Chain) bool) {
	in := pool.Chain()
	for _, piece := range [][]byte{b[:len(b)/2], b[len(b)/2:]} {
		in.Write(piece)
		for read(in) {
		}
	}
	in.Release()
}

func FuzzPrelogin(f *testing.F) {
	f.Add(appendPrelogin(nil, prelogin{encryption: encryptNotSupported}))
	f.Fuzz(func(_ *testing.T, b []byte) { parsePrelogin(b) }) //nolint:errcheck
}

func FuzzLogin(f *testing.F) {
	f.Add(appendLogin(login{packetSize: 4096, host: "h", user: "ann", password: "p", appName: "a", database: "sales"}))
	f.Fuzz(func(t *testing.T, b []byte) {
		if l, err := parseLogin(b); err == nil && len(l.user) > 4*maxLoginChars {
			t.Fatal("a name that is too long")
		}
	})
}

func FuzzBatch(f *testing.F) {
	f.Add(appendUTF16(appendAllHeaders(nil), "SELECT 1 -- č"))
	f.Fuzz(func(_ *testing.T, b []byte) { parseBatch(b) }) //nolint:errcheck
}

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

// FuzzValue reads a type and a value, writes both as we do, and reads that again.
func FuzzValue(f *testing.F) {
	f.Add([]byte{typeIntN, 4, 4, 1, 2, 3, 4})
	f.Add([]byte{typeNVarChar, 0xFF, 0xFF, 9, 4, 0xD0, 0, 0x34, 4, 0, 0, 0, 0, 0, 0, 0, 4, 0, 0, 0, 'a', 0, 'b', 0, 0, 0, 0, 0})
	f.Add([]byte{typeDecimalN, 17, 38, 10, 5, 1, 1, 2, 3, 4})
	f.Add([]byte{typeVarChar, 10, 0, 5, 4, 0xD0, 0, 0x34, 2, 0, 0xC8, 0x9A})
	f.Fuzz(func(t *testing.T, b []byte) {
		c := cursor{buf: b}
		w := c.typeInfo()
		var scratch []byte
		v := c.value(&w, &scratch)
		if c.err != nil || v != nil && w.Validate(v) != nil {
			return
		}
		want := append([]byte(nil), v...)
		again := cursor{buf: appendValue(appendType(nil, w.Type), w.Type, v)}
		w2 := again.typeInfo()
		got := again.value(&w2, &scratch)
		if again.err != nil || (got == nil) != (v == nil) || string(got) != string(want) || again.remaining() != 0 {
			t.Fatalf("%v %q became %q, %v", w.Type, want, got, again.err)
		}
	})
}

// FuzzSession is a client that sends anything, before and after its login.
func FuzzSession(f *testing.F) {
	f.Add([]byte{0x12, 1, 0, 8, 0, 0, 1, 0}, false)
	k := newPair(f)
	k.engine.phase = running
	k.engine.Send(k.toSession, "q", "SELECT a", nil)
	f.Add(k.toSession.Bytes(), true)
	f.Fuzz(func(t *testing.T, b []byte, in bool) {
		k := newPair(t)
		if in {
			k.login()
		}
		owed := k.pool.Chain()
		feedInHalves(k.pool, b, func(in *buffers.Chain) bool {
			said, err := k.session.Read(in, owed)
			if a, is := said.(*traffic.BatchRequest); is {
				a.Batch.Text.Release()
				k.session.Encode(owed, &traffic.Answer{Stream: a.Stream, Code: traffic.Failed})
			}
			if v, is := said.(*traffic.Verify); is {
				v.Done(v.Run(), owed) //nolint:errcheck
			}
			return said != nil && err == nil
		})
		owed.Release()
		if k.pool.InUse() != 0 {
			t.Fatal("buffers are kept")
		}
	})
}

// FuzzEngine is an engine that answers anything.
func FuzzEngine(f *testing.F) {
	k := newPair(f).login()
	a := k.query("SELECT a")
	k.session.Encode(k.toClient, &traffic.Answer{Stream: a.Stream, Rows: []rows.Part{textRows(k.pool, "x", "yy")}})
	f.Add(k.toClient.Bytes(), false)
	f.Add(k.toClient.Bytes(), true)
	f.Fuzz(func(t *testing.T, b []byte, stop bool) {
		k := newPair(t)
		k.engine.phase, k.engine.packetSize = idle, 600
		owed := k.pool.Chain()
		k.engine.Send(owed, "q", "SELECT a", nil)
		if stop {
			k.engine.Encode(owed, traffic.CancelDispatch{ID: "q"})
		}
		feedInHalves(k.pool, b, func(in *buffers.Chain) bool {
			r, err := k.engine.Read(in, owed)
			if r != nil {
				columns := r.Rows.Columns
				if columns == nil {
					columns = k.engine.resultColumns
				}
				if e := rows.Each(r.Rows, len(columns), func([][]byte) error { return nil }); e != nil {
					t.Fatal(e)
				}
				r.Rows.Release()
			}
			return r != nil && err == nil
		})
		owed.Release()
		k.engine.discardRows()
		if k.pool.InUse() != 0 {
			t.Fatal("buffers are kept")
		}
	})
}
