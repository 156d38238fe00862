package endpoint

import (
	"crypto/sha256"
	"io"
)

// pattern generates bytes from the hash of a seed and the block number, so that lost,
// repeated or foreign blocks change the content.
type pattern struct {
	seed      [sha256.Size]byte
	remaining int64 // bytes
	block     uint64
	unread    []byte // of buf
	buf       [patternBlockBytes]byte
}

const patternBlockBytes = 4096

// NewPattern returns a reader of n bytes that are determined by the seed.
func NewPattern(seed string, n int64) io.Reader {
	return &pattern{seed: sha256.Sum256([]byte(seed)), remaining: n}
}

// Read implements io.Reader.
func (p *pattern) Read(b []byte) (int, error) {
	if p.remaining == 0 {
		return 0, io.EOF
	}
	if len(p.unread) == 0 {
		p.fill()
	}
	n := copy(b[:min(int64(len(b)), p.remaining)], p.unread)
	p.unread = p.unread[n:]
	p.remaining -= int64(n)
	return n, nil
}

func (p *pattern) fill() {
	for i := range p.buf {
		p.buf[i] = p.seed[i%sha256.Size] + byte(p.block>>(8*(i%3)))
	}
	p.block++
	p.unread = p.buf[:]
}
