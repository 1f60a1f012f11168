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
	defaultHistoryLimit = 20
	maxHistoryLimit     = 500
)

type (
	// Entry is one configuration entry.
	Entry struct {
		Kind     string `json:"kind"`
		Name     string `json:"name"`
		Text     string `json:"text"`
		Revision uint64 `json:"revision"`
	}

	// ChangeRequest requests an atomic change of one or more entries. A retry of a
	// request carries the same WriteID, and in Since the revision that the operator
	// had seen when the request was first sent.
	ChangeRequest struct {
		Author  string        `json:"author"`
		Edits   []config.Edit `json:"edits"`
		WriteID string        `json:"attempt,omitempty"`
		Since   uint64        `json:"since,omitempty"`
		DryRun  bool          `json:"dryRun,omitempty"` // validate without writing
	}

	// ChangeReply holds the revision at which a change took effect.
	ChangeReply struct {
		Revision uint64 `json:"revision"`
	}

	// CheckRequest requests a validation of edits, regardless of their base
	// revisions.
	CheckRequest struct {
		Edits []config.Edit `json:"edits"`
	}

	// ConflictReply names the entry that another operator changed first, with the
	// base revision of the edit and the current revision of the entry.
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
	if request.WriteID == "" {
		request.WriteID = uuid.NewString()
	}
	change := config.Change{
		Author: request.Author, At: time.Now().UTC(), WriteID: request.WriteID, Edits: request.Edits, Since: request.Since,
	}
	if request.DryRun {
		h.dryRun(c, change)
		return
	}
	revision, err := h.config.Commit(c.Request.Context(), change)
	if err != nil {
		abortChange(c, err)
		return
	}
	c.JSON(http.StatusOK, ChangeReply{Revision: revision})
}

// dryRun validates a change without writing it. The reply is the error that the
// change would give, or the current revision.
func (h *Handler) dryRun(c *gin.Context, change config.Change) {
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
	limit, err := strconv.Atoi(c.DefaultQuery("limit", strconv.Itoa(defaultHistoryLimit)))
	if err != nil || limit < 1 || limit > maxHistoryLimit {
		abort(c, InvalidRequest, "limit must be a number from 1 to "+strconv.Itoa(maxHistoryLimit))
		return
	}
	keep := editsEntry(c.Query("kind"), c.Query("name"))
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

// editsEntry returns a filter for the changes that edit an entry of the given
// kind and name. An empty kind or name matches any.
func editsEntry(kind, name string) func(config.Change) bool {
	return func(change config.Change) bool {
		for _, e := range change.Edits {
			if (kind == "" || string(e.Kind) == kind) && (name == "" || e.Name == name) {
				return true
			}
		}
		return false
	}
}

// abortChange replies with the error kind that fits the error of a change.
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

// bind decodes the request body, or replies with an error and returns false.
func bind(c *gin.Context, request any) bool {
	c.Request.Body = http.MaxBytesReader(c.Writer, c.Request.Body, maxBodyBytes)
	if err := c.ShouldBindJSON(request); err != nil {
		abort(c, InvalidRequest, err.Error())
		return false
	}
	return true
}

// writeAt replies with value and the revision of the document it was read from.
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
