package operator

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/google/uuid"

	"github.com/hickoryfront/hickoryfront/core/config"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/configstore"
)

const (
	defaultHistory = 20
	maxHistory     = 500
)

type (
	// Entry is one configuration entry.
	Entry struct {
		Kind     string `json:"kind"`
		Name     string `json:"name"`
		Text     string `json:"text"`
		Revision uint64 `json:"revision"`
	}

	// ChangeRequest asks for a change of several entries at once. A request that
	// is sent again carries the same attempt token, and in Since the revision
	// that the operator had seen when it was first sent.
	ChangeRequest struct {
		Author  string        `json:"author"`
		Edits   []config.Edit `json:"edits"`
		Attempt string        `json:"attempt,omitempty"`
		Since   uint64        `json:"since,omitempty"`
		DryRun  bool          `json:"dryRun,omitempty"` // check only
	}

	// ChangeReply tells the revision at which a change is in force.
	ChangeReply struct {
		Revision uint64 `json:"revision"`
	}

	// CheckRequest asks whether edits would be valid, whatever their bases.
	CheckRequest struct {
		Edits []config.Edit `json:"edits"`
	}

	// ConflictReply says which entry another operator changed first.
	ConflictReply struct {
		Kind    string `json:"kind"`
		Name    string `json:"name"`
		Base    uint64 `json:"base"`
		Current uint64 `json:"current"`
	}
)

func (h *Handler) listEntries(c *gin.Context) {
	kind := c.Query("kind")
	document := h.config.Current()
	entries := []Entry{}
	for _, e := range document.List() {
		if kind == "" || string(e.Kind) == kind {
			entries = append(entries, entryOf(e))
		}
	}
	writeAt(c, document, entries)
}

func (h *Handler) getEntry(c *gin.Context) {
	key := config.EntryKey{Kind: config.Kind(c.Param("kind")), Name: c.Param("name")}
	document := h.config.Current()
	e, ok := document.Entries[key]
	if !ok {
		setRevision(c, document)
		abort(c, NotFound, string(key.Kind)+" "+key.Name+" does not exist")
		return
	}
	writeAt(c, document, entryOf(e))
}

func (h *Handler) change(c *gin.Context) {
	var request ChangeRequest
	if !bind(c, &request) {
		return
	}
	if request.Attempt == "" {
		request.Attempt = uuid.NewString()
	}
	change := config.Change{
		Author: request.Author, At: time.Now().UTC(), Attempt: request.Attempt, Edits: request.Edits, Since: request.Since,
	}
	if request.DryRun {
		h.tryChange(c, change)
		return
	}
	revision, err := h.config.Commit(c.Request.Context(), change)
	if err != nil {
		abortChange(c, err)
		return
	}
	c.JSON(http.StatusOK, ChangeReply{Revision: revision})
}

// tryChange answers what a change would give, and writes nothing.
func (h *Handler) tryChange(c *gin.Context, change config.Change) {
	document := h.config.Current()
	change.Revision = document.Revision + 1
	if _, err := document.Apply(change); err != nil {
		abortChange(c, err)
		return
	}
	c.JSON(http.StatusOK, ChangeReply{Revision: document.Revision})
}

func (h *Handler) check(c *gin.Context) {
	var request CheckRequest
	if !bind(c, &request) {
		return
	}
	document := h.config.Current()
	if err := document.Check(request.Edits); err != nil {
		abortChange(c, err)
		return
	}
	c.JSON(http.StatusOK, ChangeReply{Revision: document.Revision})
}

func (h *Handler) history(c *gin.Context) {
	limit, err := strconv.Atoi(c.DefaultQuery("limit", strconv.Itoa(defaultHistory)))
	if err != nil || limit < 1 || limit > maxHistory {
		abort(c, InvalidRequest, "limit must be a number from 1 to "+strconv.Itoa(maxHistory))
		return
	}
	keep := touches(c.Query("kind"), c.Query("name"))
	changes, err := h.config.History(c.Request.Context(), limit, keep)
	if err != nil {
		abort(c, Unavailable, err.Error())
		return
	}
	if changes == nil {
		changes = []config.Change{}
	}
	writeAt(c, h.config.Current(), changes)
}

// touches returns a filter for changes of an entry; "" stands for any.
func touches(kind, name string) func(config.Change) bool {
	return func(change config.Change) bool {
		for _, e := range change.Edits {
			if (kind == "" || string(e.Kind) == kind) && (name == "" || e.Name == name) {
				return true
			}
		}
		return false
	}
}

func abortChange(c *gin.Context, err error) {
	var conflict config.Conflict
	switch {
	case errors.As(err, &conflict):
		c.AbortWithStatusJSON(ConflictKind.Status, ErrorReply{
			Code: ConflictKind.Code, Message: err.Error(),
			Conflict: &ConflictReply{Kind: string(conflict.Kind), Name: conflict.Name, Base: conflict.Base, Current: conflict.Current},
		})
	case errors.Is(err, config.ErrInvalid):
		abort(c, InvalidConfiguration, err.Error())
	case errors.Is(err, configstore.ErrNotSent):
		abort(c, NotSent, err.Error())
	default:
		abort(c, Unconfirmed, err.Error())
	}
}

func bind(c *gin.Context, request any) bool {
	c.Request.Body = http.MaxBytesReader(c.Writer, c.Request.Body, maxBodyBytes)
	if err := c.ShouldBindJSON(request); err != nil {
		abort(c, InvalidRequest, err.Error())
		return false
	}
	return true
}

func writeAt(c *gin.Context, document *config.Document, value any) {
	setRevision(c, document)
	c.JSON(http.StatusOK, value)
}

func setRevision(c *gin.Context, document *config.Document) {
	c.Header(revisionHeader, strconv.FormatUint(document.Revision, 10))
}

func entryOf(e config.Entry) Entry {
	return Entry{Kind: string(e.Kind), Name: e.Name, Text: e.Text, Revision: e.Revision}
}
