package config_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hickoryfront/hickoryfront/core/config"
)

const serviceText = "[service]\nkind = model\nmodel = m\nprofile = p\n"

func TestParseProfile(t *testing.T) {
	tests := []struct {
		name    string
		text    string
		wantErr string
	}{
		{name: "empty text takes the defaults", text: ""},
		{name: "unknown key is named with its section", text: "[targets]\nfirstTokn = 2s\n", wantErr: "[targets] firstTokn: unknown key"},
		{name: "unknown section", text: "[target]\nfirstToken = 2s\n", wantErr: "[target] firstToken: unknown key"},
		{name: "bad duration", text: "[targets]\nfirstToken = fast\n", wantErr: `"fast" is not a duration`},
		{name: "negative duration", text: "[targets]\nfirstToken = -1s\n", wantErr: "above zero"},
		{name: "objective above one", text: "[targets]\nobjective = 1.5\n", wantErr: "[targets] objective"},
		{name: "bad class", text: "[admission]\nclass = urgent\n", wantErr: "[admission] class"},
		{name: "legacy address without scheme", text: "[legacy]\naddress = 10.0.0.1\n", wantErr: "[legacy] address"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := config.ParseProfile("p", tt.text)
			if tt.wantErr == "" {
				if err != nil {
					t.Fatalf("unexpected error: %v", err)
				}
				return
			}
			if !errors.Is(err, config.ErrInvalid) || !strings.Contains(err.Error(), tt.wantErr) {
				t.Fatalf("got error %v, want ErrInvalid with %q", err, tt.wantErr)
			}
		})
	}
}

func TestParseProfileDefaults(t *testing.T) {
	p, err := config.ParseProfile("p", "")
	if err != nil {
		t.Fatal(err)
	}
	if p.FirstTokenTarget != 2*time.Second || p.TokenGapTarget != 29*time.Millisecond {
		t.Errorf("targets are %v and %v, want 2s and 29ms", p.FirstTokenTarget, p.TokenGapTarget)
	}
	if diff := cmp.Diff([]string{"POST", "PATCH", "DELETE"}, p.NonRepeatableMethods); diff != "" {
		t.Errorf("non-repeatable methods (-want +got):\n%s", diff)
	}
}

func TestApply(t *testing.T) {
	profile := config.Edit{Kind: config.KindProfile, Name: "p", Text: "[targets]\nfirstToken = 1s\n"}
	service := config.Edit{Kind: config.KindService, Name: "s", Text: serviceText}
	base, err := config.NewDocument().Apply(config.Change{Revision: 1, Edits: []config.Edit{profile, service}})
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name   string
		change config.Change
		want   error
	}{
		{name: "edit on the current base", change: config.Change{Revision: 2, Edits: []config.Edit{{Kind: config.KindProfile, Name: "p", Text: "[targets]\n", Base: 1}}}},
		{name: "edit on an old base", change: config.Change{Revision: 2, Edits: []config.Edit{{Kind: config.KindProfile, Name: "p", Text: "[targets]\n"}}}, want: config.ErrConflict},
		{name: "revision that does not follow", change: config.Change{Revision: 3}, want: config.ErrRevision},
		{name: "deletion of a profile in use", change: config.Change{Revision: 2, Edits: []config.Edit{{Kind: config.KindProfile, Name: "p", Base: 1}}}, want: config.ErrInvalid},
		{name: "service without its profile", change: config.Change{Revision: 2, Edits: []config.Edit{{Kind: config.KindService, Name: "t", Text: strings.Replace(serviceText, "= p", "= q", 1)}}}, want: config.ErrInvalid},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			next, err := base.Apply(tt.change)
			if !errors.Is(err, tt.want) {
				t.Fatalf("got error %v, want %v", err, tt.want)
			}
			if err == nil && next.Revision != tt.change.Revision {
				t.Errorf("revision is %d", next.Revision)
			}
			if base.Revision != 1 || len(base.Entries) != 2 {
				t.Error("the base document was changed")
			}
		})
	}
}

func TestSnapshotRoundTrip(t *testing.T) {
	d, err := config.NewDocument().Apply(config.Change{Revision: 1, Edits: []config.Edit{
		{Kind: config.KindProfile, Name: "p", Text: "[targets]\n"},
		{Kind: config.KindService, Name: "s", Text: serviceText},
		{Kind: config.KindWorkspace, Name: "w", Text: "[workspace]\nshare = 2\n"},
	}})
	if err != nil {
		t.Fatal(err)
	}
	data, err := d.TakeSnapshot(time.Unix(0, 0)).Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := config.DecodeSnapshot(data)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(d, got); diff != "" {
		t.Errorf("snapshot differs (-want +got):\n%s", diff)
	}
}
