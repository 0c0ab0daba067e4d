package httpconn

import (
	"errors"
	"slices"
	"sync"
	"time"
)

// idleExpiryMargin is how long before the end of its idle timeout a connection is last used.
const idleExpiryMargin = 500 * time.Millisecond

// PoolConfig configures a Pool.
type PoolConfig struct {
	IdleTimeout  time.Duration              // after which servers close idle connections
	MaxPerKey    int                        // idle connections for each key; at least 1 applies
	Max          int                        // idle connections in all; at least 1 applies
	OnExtraBytes func(err *ExtraBytesError) // called when a connection is closed for what came behind an answer; may be nil
}

// Pool holds idle connections by the key of their server. Several goroutines may use it.
type Pool[Key comparable] struct {
	cfg   PoolConfig
	mu    sync.Mutex
	idle  map[Key][]*Conn // the one that has been idle longest first
	total int
}

// NewPool returns an empty pool.
func NewPool[Key comparable](cfg PoolConfig) *Pool[Key] {
	cfg.MaxPerKey, cfg.Max = max(cfg.MaxPerKey, 1), max(cfg.Max, 1)
	return &Pool[Key]{cfg: cfg, idle: map[Key][]*Conn{}}
}

// Put keeps a connection whose last answer is complete. If bytes behind that have been read, or there are enough
// connections, it is closed.
func (p *Pool[Key]) Put(key Key, conn *Conn) {
	conn.idleSince = time.Now()
	if conn.Reader.Buffered() > 0 {
		p.reportExtraBytes(conn.Check())
		conn.Close()
		return
	}
	p.Return(key, conn)
}

// Return keeps a connection that has been idle since Conn.IdleSince: it has been taken and not used, or another process
// has kept it. If there are enough connections, it is closed.
func (p *Pool[Key]) Return(key Key, conn *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[key]) >= p.cfg.MaxPerKey || p.total >= p.cfg.Max {
		conn.Close()
		return
	}
	conn.SetDeadline(time.Time{})
	p.idle[key] = append(p.idle[key], conn)
	p.total++
}

// check reports whether a connection may carry another request, apart from ReuseDelay.
func (p *Pool[Key]) check(conn *Conn) bool {
	if time.Since(conn.idleSince) > p.cfg.IdleTimeout-min(idleExpiryMargin, p.cfg.IdleTimeout/4) {
		return false
	}
	return p.isClean(conn)
}

// isClean reports whether Conn.Check finds nothing, and reports bytes that came behind an answer.
func (p *Pool[Key]) isClean(conn *Conn) bool {
	err := conn.Check()
	p.reportExtraBytes(err)
	return err == nil
}

func (p *Pool[Key]) reportExtraBytes(err error) {
	var extra *ExtraBytesError
	if p.cfg.OnExtraBytes != nil && errors.As(err, &extra) {
		p.cfg.OnExtraBytes(extra)
	}
}

// Take removes the most recently used connection to the server at addr that may carry a request now, and returns it; nil
// if there is none. It closes those that can no longer be used.
func (p *Pool[Key]) Take(key Key, addr string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	for i := len(list) - 1; i >= 0; i-- {
		conn := list[i]
		if conn.addr == addr && time.Since(conn.idleSince) < ReuseDelay {
			continue
		}
		p.removeLocked(key, i)
		if conn.addr == addr && p.check(conn) {
			return conn
		}
		conn.Close()
	}
	return nil
}

// removeLocked removes the connection at an index of a key's list. The caller holds p.mu.
func (p *Pool[Key]) removeLocked(key Key, index int) {
	p.total--
	list := slices.Delete(p.idle[key], index, index+1)
	if len(list) == 0 {
		delete(p.idle, key)
		return
	}
	p.idle[key] = list
}

// Recheck is Conn.Check for a connection that has been taken, right before a request is written to it. It closes the
// connection if it may not carry the request.
func (p *Pool[Key]) Recheck(conn *Conn) bool {
	if p.isClean(conn) {
		return true
	}
	conn.Close()
	return false
}

// TakeAll removes all connections and returns them.
func (p *Pool[Key]) TakeAll() map[Key][]*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.idle
	p.idle, p.total = map[Key][]*Conn{}, 0
	return all
}

// Len returns the number of connections.
func (p *Pool[Key]) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.total
}

// CloseOldest closes the connection that has been idle longest; false if there is none.
func (p *Pool[Key]) CloseOldest() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	var oldestKey Key
	var oldest *Conn
	for key, list := range p.idle {
		if oldest == nil || list[0].idleSince.Before(oldest.idleSince) {
			oldestKey, oldest = key, list[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.removeLocked(oldestKey, 0)
	oldest.Close()
	return true
}

// CloseKey closes the connections of a key.
func (p *Pool[Key]) CloseKey(key Key) {
	p.closeWhere(func(other Key, _ *Conn) bool { return other == key })
}

// CloseOtherKeys closes the connections of all keys but one.
func (p *Pool[Key]) CloseOtherKeys(key Key) {
	p.closeWhere(func(other Key, _ *Conn) bool { return other != key })
}

// CloseStale closes the connections that can no longer be used.
func (p *Pool[Key]) CloseStale() {
	p.closeWhere(func(_ Key, conn *Conn) bool { return !p.check(conn) })
}

func (p *Pool[Key]) closeWhere(match func(key Key, conn *Conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		kept := list[:0]
		for _, conn := range list {
			if match(key, conn) {
				conn.Close()
				p.total--
			} else {
				kept = append(kept, conn)
			}
		}
		clear(list[len(kept):])
		if p.idle[key] = kept; len(kept) == 0 {
			delete(p.idle, key)
		}
	}
}
