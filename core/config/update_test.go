package config_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/hickoryfront/hickoryfront/core/config"
)

// applyRandomChanges returns the documents at revisions 0 to n and the changes
// between them.
func applyRandomChanges(t *rapid.T, n int) ([]*config.Document, []config.Change) {
	documents := []*config.Document{config.NewDocument()}
	var changes []config.Change
	for revision := uint64(1); revision <= uint64(n); revision++ {
		name := fmt.Sprint("p-", rapid.IntRange(0, 3).Draw(t, "name"))
		last := documents[len(documents)-1]
		change := config.Change{Revision: revision, WriteID: fmt.Sprint("attempt-", revision), Edits: []config.Edit{{
			Kind: config.KindProfile, Name: name, Base: last.Entries[config.EntryKey{Kind: config.KindProfile, Name: name}].Revision,
			Text: fmt.Sprintf("[targets]\nfirstToken = %ds\n", revision),
		}}}
		next, err := last.Apply(change)
		if err != nil {
			t.Fatal(err)
		}
		documents, changes = append(documents, next), append(changes, change)
	}
	return documents, changes
}

// TestUpdatesNeverRevert guards against updates that arrive late or out of order.
// A daemon that receives changes and snapshots of any age never returns to an
// older revision and always holds exactly the document of its revision.
//
// proof: operators race | config spread | 8
func TestUpdatesNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const revisions = 20
		documents, changes := applyRandomChanges(t, revisions)
		held := documents[0]
		for range rapid.IntRange(1, 6).Draw(t, "updates") {
			sender := documents[rapid.IntRange(0, revisions).Draw(t, "sender")]
			log := config.NewLog(rapid.IntRange(1, revisions).Draw(t, "log"))
			log.Add(changes[:sender.Revision]...)
			requested := rapid.Uint64Range(0, revisions).Draw(t, "requested") // differs from the held revision when the response is late
			data, err := sender.UpdateFrom(requested, log, time.Unix(0, 0)).Encode()
			if err != nil {
				t.Fatal(err)
			}
			update, err := config.DecodeUpdate(data)
			if err != nil {
				t.Fatal(err)
			}
			next, _, err := update.Apply(held)
			if err != nil {
				continue // changes that do not follow the held revision are rejected
			}
			if next.Revision < held.Revision {
				t.Fatalf("revision went from %d back to %d", held.Revision, next.Revision)
			}
			held = next
			if diff := cmp.Diff(documents[held.Revision], held); diff != "" {
				t.Fatalf("revision %d differs (-want +got):\n%s", held.Revision, diff)
			}
		}
	})
}

// TestRootCompaction guards against changes that a compaction loses or keeps
// twice: after compactions at any revisions, each change is found once, in the
// root or in a segment, and the root leads from its snapshot to its revision.
func TestRootCompaction(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const revisions = 30
		documents, changes := applyRandomChanges(t, revisions)
		root := config.Root{}
		stored := map[uint64]config.Segment{}
		for _, change := range changes {
			if rapid.Bool().Draw(t, "compact") && len(root.Recent) > 0 {
				segment, merged := config.Segment{Changes: root.Recent}, false
				if n := len(root.Segments); n > 0 && rapid.Bool().Draw(t, "merge") {
					segment, merged = stored[root.Segments[n-1]].Merge(root.Recent)
				}
				stored[root.Revision] = segment
				root = root.Compact(merged, true)
			}
			root = root.Append(change)
		}
		found := 0
		for _, change := range changes {
			if revision, ok := root.Find(change.WriteID); ok && revision == change.Revision {
				found++
				continue
			}
			for _, s := range root.SegmentsAfter(change.Revision - 1) {
				if revision, ok := stored[s].Find(change.WriteID); ok && revision == change.Revision {
					found++
				}
			}
		}
		if found != revisions {
			t.Fatalf("%d of %d changes are in the root and its history, once each", found, revisions)
		}
		document, _, ok, err := documents[root.SnapshotRevision].Advance(root)
		if err != nil || !ok || !cmp.Equal(documents[revisions], document) {
			t.Fatalf("the root does not lead from its snapshot to its revision: %v %v", ok, err)
		}
	})
}

func TestApplyRefusesBadChanges(t *testing.T) {
	edit := config.Edit{Kind: config.KindProfile, Name: "p", Text: "[targets]\n"}
	large := config.Edit{Kind: config.KindProfile, Name: "p", Text: string(make([]byte, config.MaxChangeBytes+1))}
	pool := func(name, text string) config.Edit { return config.Edit{Kind: config.KindPool, Name: name, Text: text} }
	tests := []struct {
		name  string
		edits []config.Edit
	}{
		{name: "no edits"},
		{name: "one entry twice", edits: []config.Edit{edit, edit}},
		{name: "too large", edits: []config.Edit{large}},
		{name: "two pools of one model", edits: []config.Edit{pool("a", "[pool]\nmodel = m\n"), pool("b", "[pool]\nmodel = m\n")}},
		{name: "pool without prefill servers", edits: []config.Edit{pool("a", "[pool]\nmodel = m\ndecode = 2\n")}},
		{name: "pool that loads nothing", edits: []config.Edit{pool("a", "[pool]\nmodel = m\nloadShare = 0\n")}},
		{name: "unknown kind", edits: []config.Edit{{Kind: "route", Name: "a", Text: "x"}}},
		{name: "bad name", edits: []config.Edit{{Kind: config.KindProfile, Name: "a/b", Text: "[targets]\n"}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if _, err := config.NewDocument().Apply(config.Change{Revision: 1, Edits: tt.edits}); err == nil {
				t.Error("the change was accepted")
			}
		})
	}
}

func FuzzParseProfile(f *testing.F) {
	f.Add("[targets]\nfirstToken = 2s\n")
	f.Add("[admission]\nclass = deferrable\n[retry]\nnonRepeatable = POST, ,PUT\n")
	f.Add("[legacy]\naddress = http://10.0.0.1:80\n")
	f.Add("[targets\n=\n")
	f.Fuzz(func(t *testing.T, text string) {
		p, err := config.ParseProfile("p", text)
		if err != nil {
			return
		}
		if p.FirstTokenTarget <= 0 || p.Objective < 0 || p.Objective > 1 || p.RetryRatio > 1 {
			t.Errorf("a profile out of bounds was accepted: %+v", p)
		}
		again, err := config.ParseProfile("p", text)
		if err != nil || !cmp.Equal(p, again) {
			t.Error("parsing twice gives two results")
		}
	})
}

func FuzzDecodeStoredForms(f *testing.F) {
	d, err := config.NewDocument().Apply(config.Change{Revision: 1, Edits: []config.Edit{{Kind: config.KindProfile, Name: "p", Text: "[targets]\n"}}})
	if err != nil {
		f.Fatal(err)
	}
	data, err := d.UpdateFrom(0, config.NewLog(1), time.Unix(0, 0)).Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte(`{"revision":3,"snapshotRevision":2,"recent":[{"revision":3}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if root, err := config.DecodeRoot(data); err == nil {
			_, _ = root.ChangesAfter(root.SnapshotRevision)
		}
		update, err := config.DecodeUpdate(data)
		if err != nil {
			return
		}
		if next, _, err := update.Apply(d); err == nil && next.Revision < d.Revision {
			t.Errorf("an update went back to revision %d", next.Revision)
		}
	})
}
