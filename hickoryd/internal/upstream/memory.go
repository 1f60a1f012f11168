package upstream

import (
	"errors"
	"io"

	"github.com/hickoryfront/hickoryfront/core/memoryledger"
)

const (
	// freeHeadBytes is the size of a head that is not counted, and headCost is the memory that each
	// further byte takes: short fields take many times their bytes.
	freeHeadBytes = 4 << 10
	headCost      = 16
	// freeBodyBytes is the size of a part of a body that is not counted.
	freeBodyBytes = 16 << 10
	// firstBodyBytes is the size of the buffer with which a body begins.
	firstBodyBytes = 2 << 10
)

// errNoMemory means that the responses of servers already hold what they may hold together.
var errNoMemory = errors.New("no memory left for the server's response")

// holding is what a response makes the process hold, counted in a ledger beyond what each response
// may hold.
type holding struct {
	ledger *memoryledger.Ledger // or nil
	head   int64
	body   int64
}

// CountMemory makes the pool count in a ledger what servers make the process hold. It must be called
// before the pool is used.
func (p *Pool) CountMemory(ledger *memoryledger.Ledger) {
	p.memory = ledger
}

// Hold counts size bytes of the body as held from now on. It reports false, and counts nothing
// else than before, if the responses of servers hold too much together.
func (r *Response) Hold(size int64) bool {
	return r.connection.holding.resize(&r.connection.holding.body, max(size-freeBodyBytes, 0))
}

// ReadBody reads the body into memory, at most limit bytes of it, and no more than there is memory
// for. The body is complete if IsComplete reports so after it. What is read counts as held until
// Hold or Close.
func (r *Response) ReadBody(limit int64) ([]byte, error) {
	body := make([]byte, 0, min(firstBodyBytes, limit))
	for {
		if len(body) == cap(body) {
			size := min(2*int64(cap(body)), limit)
			if size == int64(len(body)) || !r.Hold(size) {
				return body, nil
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
}

// holdHead counts size bytes of a head.
func (h *holding) holdHead(size int) bool {
	return h.resize(&h.head, headCost*int64(max(size-freeHeadBytes, 0)))
}

// resize sets a part of the holding.
func (h *holding) resize(part *int64, size int64) bool {
	switch more := size - *part; {
	case h.ledger == nil:
		return true
	case more > 0 && !h.ledger.Acquire(more):
		return false
	case more < 0:
		h.ledger.Release(-more)
	}
	*part = size
	return true
}

func (h *holding) release() {
	h.resize(&h.head, 0)
	h.resize(&h.body, 0)
}
