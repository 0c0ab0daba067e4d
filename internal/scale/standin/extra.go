package standin

import (
	"bufio"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// MaxExtraDelay is the time after a good answer within which bytes that do not belong to it are sent.
const MaxExtraDelay = 20 * time.Millisecond

const (
	extraDropShare    = 0.5 // of the connections with extra bytes, on which the next request is not carried out
	joinedExtraShare  = 0.3 // of the extra bytes, sent in one write with the answer
	earlyExtraShare   = 0.4 // of the extra bytes, sent within earlyExtraDelay
	earlyExtraDelay   = time.Millisecond
	extraStallAllowed = 5 * time.Millisecond // if this process was held up for longer, the bytes are not sent
)

// ExtraBytes sends, behind some good answers, bytes that do not belong to them: a second copy, half of one, or noise. It
// sends them only while no request has come in behind the answer. Several goroutines may use it; a nil pointer sends
// answers only.
type ExtraBytes struct {
	share float64

	mu      sync.Mutex
	rng     *rand.Rand
	sent    int
	dropped int
}

// NewExtraBytes returns one that sends bytes behind a share of the answers.
func NewExtraBytes(share float64, rng *rand.Rand) *ExtraBytes {
	return &ExtraBytes{share: share, rng: rng}
}

// extraBytes is what follows one answer.
type extraBytes struct {
	text   []byte
	delay  time.Duration // from the answer; 0 for the same write
	drop   bool          // the next request on the connection is not carried out
	nobody bool          // nothing follows
}

func (x *ExtraBytes) draw(answer []byte) extraBytes {
	if x == nil {
		return extraBytes{nobody: true}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.rng.Float64() >= x.share {
		return extraBytes{nobody: true}
	}
	extra := extraBytes{text: answer, drop: x.rng.Float64() < extraDropShare}
	switch x.rng.IntN(4) {
	case 0:
		extra.text = answer[:len(answer)/2]
	case 1:
		extra.text = []byte("noise")
	}
	switch random := x.rng.Float64(); {
	case random < joinedExtraShare:
	case random < joinedExtraShare+earlyExtraShare:
		extra.delay = 1 + time.Duration(x.rng.Int64N(int64(earlyExtraDelay)))
	default:
		extra.delay = 1 + time.Duration(x.rng.Int64N(int64(MaxExtraDelay)))
	}
	return extra
}

// WriteAnswer writes a good answer and what follows it. It returns whether the next request on the connection must not
// be carried out. The reader is that of the connection's requests.
func (x *ExtraBytes) WriteAnswer(conn net.Conn, reader *bufio.Reader, answer []byte) (dropNext bool, err error) {
	extra := x.draw(answer)
	if !extra.nobody && extra.delay == 0 {
		x.count(&x.sent)
		_, err = conn.Write(append(append([]byte(nil), answer...), extra.text...))
		return extra.drop, err
	}
	if _, err = conn.Write(answer); err != nil || extra.nobody {
		return false, err
	}
	return x.follow(conn, reader, extra)
}

// follow sends what follows an answer that has been written.
func (x *ExtraBytes) follow(conn net.Conn, reader *bufio.Reader, extra extraBytes) (dropNext bool, err error) {
	begun := time.Now()
	conn.SetReadDeadline(begun.Add(extra.delay))
	_, err = reader.Peek(1)
	conn.SetReadDeadline(time.Time{})
	if timeout, ok := err.(net.Error); err == nil || !ok || !timeout.Timeout() {
		return false, err // a request has come in, or the connection has ended
	}
	if time.Since(begun) > extra.delay+extraStallAllowed {
		return false, nil
	}
	x.count(&x.sent)
	_, err = conn.Write(extra.text)
	return extra.drop, err
}

// DropRequest counts a request that is not carried out.
func (x *ExtraBytes) DropRequest() { x.count(&x.dropped) }

func (x *ExtraBytes) count(counter *int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	*counter++
}

// Counts returns how often extra bytes were sent, and how many requests behind them were not carried out.
func (x *ExtraBytes) Counts() (sent, dropped int) {
	if x == nil {
		return 0, 0
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.sent, x.dropped
}
