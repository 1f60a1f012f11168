package caller_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/hickoryfront/hickoryfront/hickoryd/internal/caller"
)

var created = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

// TestTemplateEqualsMarshal guards against events of the template that differ
// from events that are marshaled in full.
func TestTemplateEqualsMarshal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chat, first, last := rapid.Bool().Draw(t, "chat"), rapid.Bool().Draw(t, "first"), rapid.Bool().Draw(t, "last")
		model, text := rapid.String().Draw(t, "model"), rapid.String().Draw(t, "text")
		want, err := caller.MarshalEvent(chat, model, text, created, first, last)
		if err != nil {
			t.Fatal(err)
		}
		got, err := caller.TemplateEvent(chat, model, text, created, first, last)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatal(diff)
		}
	})
}

// BenchmarkEvent compares marshaled events with events of the template in one
// run.
func BenchmarkEvent(b *testing.B) {
	for name, event := range map[string]func(bool, string, string, time.Time, bool, bool) (string, error){
		"marshaled": caller.MarshalEvent, "template": caller.TemplateLoop(),
	} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				if _, err := event(false, "catalogue-8b", "·12.9bda ", created, false, false); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
