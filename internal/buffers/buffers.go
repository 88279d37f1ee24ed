// Package buffers provides pooled, fixed-size buffers and chains of them, for messages and streams that pass through the router.
package buffers

import "io"

// Size is the size of every buffer in bytes.
const Size = 4096

// Pool allocates buffers and reuses them. It belongs to one event loop and is not safe for concurrent use.
type Pool struct {
	MaxFree int // largest number of free buffers that are kept for reuse

	free     [][]byte
	inUse    int // buffers that chains hold
	reserved int // bytes that are held outside the pool on its account
}

// InUse returns how many buffers are taken at present: those that chains hold, and as many as the reserved bytes would fill.
func (p *Pool) InUse() int { return p.inUse + (p.reserved+Size-1)/Size }

// Reserve counts bytes that are held outside the pool, such as decoded values, among those in use.
func (p *Pool) Reserve(bytes int) { p.reserved += bytes }

// Unreserve takes back a Reserve of this many bytes.
func (p *Pool) Unreserve(bytes int) { p.reserved -= bytes }

// get returns an empty buffer.
func (p *Pool) get() []byte {
	p.inUse++
	if n := len(p.free); n > 0 {
		b := p.free[n-1]
		p.free = p.free[:n-1]
		return b
	}
	return make([]byte, 0, Size)
}

// put returns a buffer to the pool.
func (p *Pool) put(b []byte) {
	p.inUse--
	if len(p.free) < p.MaxFree { // buffers beyond MaxFree, left over from a burst, go to the garbage collector
		p.free = append(p.free, b[:0])
	}
}

// Chain is a byte queue of any length in pooled buffers. Its owner must call Release. A Chain is not safe for concurrent use.
type Chain struct {
	pool       *Pool
	parts      [][]byte // all buffers, including bytes already read
	readOffset int      // bytes of the first buffer that were already read
	size       int      // unread bytes
}

// Chain returns a new empty chain.
func (p *Pool) Chain() *Chain { return &Chain{pool: p} }

// Len returns the number of unread bytes; 0 for a nil chain.
func (c *Chain) Len() int {
	if c == nil {
		return 0
	}
	return c.size
}

// Write appends a copy of p. It never fails.
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
		count := min(Size-len(b), len(p))
		c.parts[last] = append(b, p[:count]...)
		p = p[count:]
	}
	return n, nil
}

// WriteString appends a string.
func (c *Chain) WriteString(s string) { c.Write([]byte(s)) }

// Parts returns the unread bytes as slices of the chain's buffers, without a copy. The chain still owns the buffers.
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

// Append appends a copy of the unread bytes of another chain, which is not changed and may be nil.
func (c *Chain) Append(other *Chain) {
	if other == nil {
		return
	}
	for i, b := range other.parts {
		if i == 0 {
			b = b[other.readOffset:]
		}
		c.Write(b)
	}
}

// Peek copies unread bytes from an offset on into dst without consuming them. It returns the number of bytes copied.
func (c *Chain) Peek(offset int, dst []byte) int {
	offset += c.readOffset
	n := 0
	for i := offset / Size; i < len(c.parts) && n < len(dst); i++ { // all buffers but the last are full
		b := c.parts[i]
		if skip := offset - i*Size; skip > 0 {
			b = b[min(skip, len(b)):]
		}
		n += copy(dst[n:], b)
	}
	return n
}

// Index returns the position of the first target byte among the limit bytes from an offset on, or -1 if there is none.
func (c *Chain) Index(offset int, target byte, limit int) int {
	var window [64]byte
	for end := min(offset+limit, c.size); offset < end; {
		n := min(c.Peek(offset, window[:]), end-offset)
		for i, b := range window[:n] {
			if b == target {
				return offset + i
			}
		}
		offset += n
	}
	return -1
}

// Discard consumes n bytes, or all if there are fewer.
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

// Cut consumes the first n bytes, or all if there are fewer, and returns them in a new chain.
func (c *Chain) Cut(n int) *Chain {
	out := c.pool.Chain()
	n = min(n, c.size)
	for left, i := n, 0; left > 0; i++ {
		b := c.parts[i]
		if i == 0 {
			b = b[c.readOffset:]
		}
		count := min(left, len(b))
		out.Write(b[:count])
		left -= count
	}
	c.Discard(n)
	return out
}

// String returns a copy of the unread bytes as a string.
func (c *Chain) String() string {
	out := make([]byte, c.size)
	c.Peek(0, out)
	return string(out)
}

// Release returns all buffers to the pool and leaves the chain empty. It may be called repeatedly and on a nil chain.
func (c *Chain) Release() {
	if c != nil {
		c.Discard(c.size)
	}
}

// Reader returns a reader of the unread bytes that does not consume them. The chain must not change while it is used.
func (c *Chain) Reader() *Reader { return &Reader{chain: c, offset: c.readOffset} }

// Reader reads a chain byte by byte. It implements io.ByteReader.
type Reader struct {
	chain        *Chain
	part, offset int // index of the current buffer and position in it
}

// ReadByte returns the next byte, or io.EOF at the end.
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

// Bytes returns a copy of the unread bytes.
func (c *Chain) Bytes() []byte {
	out := make([]byte, c.Len())
	if c != nil {
		c.Peek(0, out)
	}
	return out
}

// Truncate removes bytes from the end so that size unread bytes are left. A shorter chain is unchanged.
func (c *Chain) Truncate(size int) {
	if size <= 0 {
		c.Release()
		return
	}
	for excess := c.size - size; excess > 0; {
		last := len(c.parts) - 1
		b := c.parts[last]
		start := 0
		if last == 0 {
			start = c.readOffset
		}
		count := min(excess, len(b)-start)
		c.parts[last] = b[:len(b)-count]
		c.size, excess = c.size-count, excess-count
		if len(c.parts[last]) == start && last > 0 {
			c.pool.put(c.parts[last])
			c.parts = c.parts[:last]
		}
	}
}
