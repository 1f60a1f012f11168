package worker

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/hickoryfront/hickoryfront/hickorylab/internal/jsonreply"
)

// copyTTL is how long the copy of a run's KV cache is kept after its last transfer.
const copyTTL = 2 * time.Second

// kvCopy is a copy of the KV cache of a run at another server.
type kvCopy struct {
	id             string // of the request
	tokens         int
	source, target *Server
	// isStopped is set once the run at source was stopped for its last transfer.
	isStopped bool
	expiresAt time.Time
	expiry    *time.Timer
}

func (s *Server) serveMigration(w http.ResponseWriter, r *http.Request) {
	var body struct {
		ID   string `json:"id"`
		To   string `json:"to"`
		Last bool   `json:"last"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	current, ok := s.running[body.ID]
	var created uint64
	if ok {
		created = current.lastEvent
	}
	if ok && body.Last {
		delete(s.running, body.ID)
		close(current.migrated)
	}
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	handle := "move-" + body.ID
	isCopied := s.group.copyTo(s, handle, body.ID, s.group.serverAt(body.To), current.tokens, body.Last)
	if !isCopied {
		w.WriteHeader(http.StatusServiceUnavailable)
		if !body.Last {
			return
		}
	}
	jsonreply.Write(w, map[string]any{"handle": handle, "created": created})
}

// copyTo copies the KV cache of a run to target, where the copy occupies memory from the
// first transfer on. With isLast the run has been stopped, and its cache stays at source also
// if there is no copy. copyTo reports whether target has the copy.
func (g *Group) copyTo(source *Server, handle, id string, target *Server, tokens int, isLast bool) bool {
	key := source.address + "/" + handle
	g.mu.Lock()
	c, ok := g.copies[key]
	g.mu.Unlock()
	isCopied := target != nil && (ok && c.target == target || target.reserveTokens(tokens))
	if !isCopied && !isLast {
		return false
	}
	if !ok || c.target != target {
		c = &kvCopy{id: id, tokens: tokens, source: source, target: target}
		if !isCopied {
			c.target, c.tokens = source, 0
		}
		c.expiry = time.AfterFunc(copyTTL, func() { g.expireCopy(key) })
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	c.isStopped, c.expiresAt = isLast, time.Now().Add(copyTTL)
	c.expiry.Reset(copyTTL)
	g.copies[key] = c
	return isCopied
}

// takeCopy removes the copy of a run's KV cache that s fetches as the copy's target, or as
// the stopped run's own server. The memory of the target's copy becomes that of the run. It
// reports whether there was such a copy.
func (g *Group) takeCopy(key string, s *Server) bool {
	g.mu.Lock()
	c, ok := g.copies[key]
	ok = ok && c.isStopped && (c.target == s || c.source == s)
	if ok {
		delete(g.copies, key)
		c.expiry.Stop()
	}
	g.mu.Unlock()
	if ok && c.target != s {
		c.target.freeTokens(c.tokens)
	}
	return ok
}

// expireCopy frees a copy unless a further transfer has prolonged its life.
func (g *Group) expireCopy(key string) {
	g.mu.Lock()
	c, ok := g.copies[key]
	isExpired := ok && !time.Now().Before(c.expiresAt)
	g.mu.Unlock()
	if isExpired {
		g.dropCopy(key)
	}
}

// dropCopy frees a copy that was not used.
func (g *Group) dropCopy(key string) {
	g.mu.Lock()
	c, ok := g.copies[key]
	delete(g.copies, key)
	g.mu.Unlock()
	if ok {
		c.expiry.Stop()
		c.target.freeTokens(c.tokens)
	}
}

// serverAt returns the server with the IP address of the given one, or nil.
func (g *Group) serverAt(address string) *Server {
	own := g.ownAddress(address)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		if s.address == own {
			return s
		}
	}
	return nil
}
