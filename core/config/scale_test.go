package config_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/core/config"
)

const (
	largeWorkspaces = 890
	profileAtScale  = "[targets]\nfirstToken = 2s\ntokenGap = 29ms\nobjective = 0.95\n\n[admission]\nclass = deferrable\nmaxWait = 10s\nageAfter = 30s\n" +
		"goodputWeight = 4\nwasteWeight = 1\ndirectPrompt = 32\n"
)

// largeDocument has a profile, a service and a workspace for each of 890
// workspaces.
func largeDocument(tb testing.TB) *config.Document {
	tb.Helper()
	var entries []config.Entry
	for i := range largeWorkspaces {
		name := fmt.Sprint("tenant-", i)
		entries = append(
			entries,
			config.Entry{Kind: config.KindProfile, Name: name, Text: profileAtScale, Revision: 1},
			config.Entry{Kind: config.KindService, Name: name, Text: "[service]\nkind = plain\nprofile = " + name + "\n", Revision: 1},
			config.Entry{Kind: config.KindWorkspace, Name: name, Text: "[workspace]\nshare = 1\n", Revision: 1},
		)
	}
	d, err := config.FromEntries(1, entries)
	if err != nil {
		tb.Fatal(err)
	}
	return d
}

func TestLargeDocumentFitsASnapshot(t *testing.T) {
	data, err := largeDocument(t).TakeSnapshot(time.Unix(0, 0)).Encode()
	if err != nil {
		t.Fatal(err)
	}
	if len(data) > config.MaxSnapshotBytes {
		t.Errorf("the snapshot has %d bytes, more than %d", len(data), config.MaxSnapshotBytes)
	}
}

func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/*.ini")
	if err != nil || len(files) == 0 {
		t.Fatalf("no examples found: %v", err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		parse := func(text string) error { _, err := config.ParseProfile("p", text); return err }
		if strings.HasSuffix(file, "-pool.ini") {
			parse = func(text string) error { _, err := config.ParsePool("p", text); return err }
		}
		if err := parse(string(text)); err != nil {
			t.Errorf("%s: %v", file, err)
		}
	}
}

// BenchmarkApply measures one change to a configuration of the expected size.
func BenchmarkApply(b *testing.B) {
	d := largeDocument(b)
	change := config.Change{Revision: 2, Edits: []config.Edit{{Kind: config.KindProfile, Name: "tenant-1", Text: profileAtScale, Base: 1}}}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := d.Apply(change); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkSnapshot measures the snapshot that a compaction of the root adds to
// one change in 32.
func BenchmarkSnapshot(b *testing.B) {
	d := largeDocument(b)
	b.ReportAllocs()
	size := 0
	for b.Loop() {
		data, err := d.TakeSnapshot(time.Unix(0, 0)).Encode()
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size), "bytes")
	b.ReportMetric(float64(d.TextBytes()), "text-bytes")
}

// BenchmarkDecodeSnapshot measures the decoding of a snapshot by a daemon that
// starts or is too many revisions behind for single changes.
func BenchmarkDecodeSnapshot(b *testing.B) {
	data, err := largeDocument(b).TakeSnapshot(time.Unix(0, 0)).Encode()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := config.DecodeSnapshot(data); err != nil {
			b.Fatal(err)
		}
	}
}
