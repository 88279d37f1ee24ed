// Package buffers holds bytes on their way through the router: buffers of one size, used again, and chains of them.
package buffers

import "io"

// Size is the size of every buffer.
const Size = 4096

// Pool hands out buffers and takes them back. It belongs to one event loop.
type Pool struct {
	MaxFree int // buffers that wait to be used again, at most

	free  [][]byte
	inUse int
}

// InUse tells how many buffers are out.
func (p *Pool) InUse() int { return p.inUse }

func (p *Pool) get() []byte {
	p.inUse++
	if n := len(p.free); n > 0 {
		b := p.free[n-1]
		p.free = p.free[:n-1]
		return b
	}
	return make([]byte, 0, Size)
}

func (p *Pool) put(b []byte) {
	p.inUse--
	if len(p.free) < p.MaxFree { // what a burst needed beyond that goes back to the collector
		p.free = append(p.free, b[:0])
	}
}

// Chain is a message or a stream of any length in pooled buffers. Whoever holds it releases it.
type Chain struct {
	pool       *Pool
	parts      [][]byte // the whole buffers
	readOffset int      // bytes of the first that are read already
	size       int
}

// Chain gives an empty chain.
func (p *Pool) Chain() *Chain { return &Chain{pool: p} }

// Len tells how many bytes it holds; none holds none.
func (c *Chain) Len() int {
	if c == nil {
		return 0
	}
	return c.size
}

// Write appends; it never fails.
func (c *Chain) Write(p []byte) (int, error) {
	n := len(p)
	c.size += n
	for len(p) > 0 {
		last := len(c.parts) - 1
		if last < 0 || len(c.parts[last]) == Size {
			c.parts = append(c.parts, c.pool.get())
			last++
		}
		b := c.parts[last]
		took := min(Size-len(b), len(p))
		c.parts[last] = append(b, p[:took]...)
		p = p[took:]
	}
	return n, nil
}

// WriteString appends a text.
func (c *Chain) WriteString(s string) { c.Write([]byte(s)) }

// Parts gives the bytes as they lie, without the read ones; they stay the chain's.
func (c *Chain) Parts() [][]byte {
	out := make([][]byte, 0, len(c.parts))
	for i, b := range c.parts {
		if i == 0 {
			b = b[c.readOffset:]
		}
		if len(b) > 0 {
			out = append(out, b)
		}
	}
	return out
}

// Append copies all of another chain, which stays as it is.
func (c *Chain) Append(o *Chain) {
	if o == nil {
		return
	}
	for i, b := range o.parts {
		if i == 0 {
			b = b[o.readOffset:]
		}
		c.Write(b)
	}
}

// Peek copies bytes from an offset on, without reading them; it tells how many there were.
func (c *Chain) Peek(at int, into []byte) int {
	at += c.readOffset
	n := 0
	for i := at / Size; i < len(c.parts) && n < len(into); i++ { // only the last part may be short
		b := c.parts[i]
		if skip := at - i*Size; skip > 0 {
			b = b[min(skip, len(b)):]
		}
		n += copy(into[n:], b)
	}
	return n
}

// Index finds a byte from an offset on, within so many bytes; below 0: it is not there.
func (c *Chain) Index(at int, what byte, within int) int {
	var one [64]byte
	for end := min(at+within, c.size); at < end; {
		n := min(c.Peek(at, one[:]), end-at)
		for i, b := range one[:n] {
			if b == what {
				return at + i
			}
		}
		at += n
	}
	return -1
}

// Discard reads bytes away.
func (c *Chain) Discard(n int) {
	n = min(n, c.size)
	c.size -= n
	c.readOffset += n
	for len(c.parts) > 0 && (c.readOffset >= Size || c.size == 0) {
		c.readOffset = max(c.readOffset-Size, 0)
		c.pool.put(c.parts[0])
		c.parts = c.parts[1:]
	}
	if c.size == 0 {
		c.readOffset, c.parts = 0, nil
	}
}

// Cut moves the first bytes to a chain of their own.
func (c *Chain) Cut(n int) *Chain {
	out := c.pool.Chain()
	n = min(n, c.size)
	for left, i := n, 0; left > 0; i++ {
		b := c.parts[i]
		if i == 0 {
			b = b[c.readOffset:]
		}
		took := min(left, len(b))
		out.Write(b[:took])
		left -= took
	}
	c.Discard(n)
	return out
}

// String copies it all.
func (c *Chain) String() string {
	out := make([]byte, c.size)
	c.Peek(0, out)
	return string(out)
}

// Release gives the buffers back; the chain is empty then. Releasing none is allowed.
func (c *Chain) Release() {
	if c != nil {
		c.Discard(c.size)
	}
}

// Reader reads the chain byte by byte and leaves it as it is.
func (c *Chain) Reader() *Reader { return &Reader{chain: c, offset: c.readOffset} }

// Reader reads a chain.
type Reader struct {
	chain        *Chain
	part, offset int
}

// ReadByte gives the next byte.
func (r *Reader) ReadByte() (byte, error) {
	for r.part < len(r.chain.parts) {
		if b := r.chain.parts[r.part]; r.offset < len(b) {
			r.offset++
			return b[r.offset-1], nil
		}
		r.part, r.offset = r.part+1, 0
	}
	return 0, io.EOF
}

// Bytes copies it all.
func (c *Chain) Bytes() []byte {
	out := make([]byte, c.Len())
	if c != nil {
		c.Peek(0, out)
	}
	return out
}

// Truncate takes back what was written last, so that so many bytes are left.
func (c *Chain) Truncate(size int) {
	if size <= 0 {
		c.Release()
		return
	}
	for over := c.size - size; over > 0; {
		last := len(c.parts) - 1
		b := c.parts[last]
		start := 0
		if last == 0 {
			start = c.readOffset
		}
		took := min(over, len(b)-start)
		c.parts[last] = b[:len(b)-took]
		c.size, over = c.size-took, over-took
		if len(c.parts[last]) == start && last > 0 {
			c.pool.put(c.parts[last])
			c.parts = c.parts[:last]
		}
	}
}
