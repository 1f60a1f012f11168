package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/hickoryfront/hickoryfront/core/setting"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/settings"
)

const validSettings = `[host]
name = host-1
failureDomain = howrah
[listen]
caller = 127.0.0.1:1
operator = 127.0.0.1:2
peer = 127.0.0.1:3
[platform]
kv = 127.0.0.1:4
hostList = 127.0.0.1:4
[auth]
operatorToken = a#token;of-16-characters
`

// TestParse guards against a daemon that starts with wrong settings, and against
// an error that hides some of the invalid keys.
func TestParse(t *testing.T) {
	tests := []struct {
		name string
		text string
		want []string // parts of the error; none if the text is valid
	}{
		{name: "valid", text: validSettings},
		{name: "several invalid keys", text: strings.Replace(validSettings, "name = host-1", "nam = host-1\nname =", 1) + "[peers]\nfanout = many\n", want: []string{
			"[host] nam: unknown key", "[host] name: missing", "[peers] fanout: \"many\"",
		}},
		{name: "duplicate key", text: validSettings + "[peers]\nfanout = 3\nfanout = 3\n", want: []string{"[peers] fanout: set more than once"}},
		{name: "duplicate key in a repeated section", text: validSettings + "[host]\nname = host-2\n", want: []string{"[host] name: set more than once"}},
		{name: "certificate without key", text: validSettings + "[tls]\ncertificate = x\n", want: []string{"[tls] certificate"}},
		{name: "same address for two listeners", text: strings.Replace(validSettings, "127.0.0.1:3", "127.0.0.1:1", 1), want: []string{"[listen] caller"}},
		{name: "timeout shorter than a heartbeat", text: validSettings + "[peers]\ntimeout = 100ms\n", want: []string{"[peers] timeout"}},
		{name: "short token", text: strings.Replace(validSettings, "a#token;of-16-characters", "short", 1), want: []string{"[auth] operatorToken: too short"}},
		{name: "not INI", text: "[host", want: []string{"not valid INI"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := settings.Parse([]byte(tt.text))
			if (err == nil) != (len(tt.want) == 0) {
				t.Fatalf("got error %v", err)
			}
			for _, part := range tt.want {
				if !strings.Contains(err.Error(), part) {
					t.Errorf("error %q lacks %q", err, part)
				}
			}
		})
	}
}

// TestLoadNamesTheFile guards against an error that does not name the file.
func TestLoadNamesTheFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "host.ini")
	if err := os.WriteFile(path, []byte("[host]\nname = a\nroom = 3\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := settings.Load(path)
	if !errors.Is(err, settings.ErrInvalid) || !strings.Contains(err.Error(), path+": [host] room: unknown key\n") {
		t.Errorf("got error %v, want ErrInvalid with file, section and key on one line", err)
	}
}

// FuzzParse guards against a panic on arbitrary text, an error without an invalid
// key, and accepted settings that are out of bounds.
func FuzzParse(f *testing.F) {
	f.Add(validSettings)
	f.Add("[host]\nname\n")
	f.Add("[a]\nb=%(c)s\nc=%(b)s\n")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := settings.Parse([]byte(text))
		var wrong setting.Errors
		if err != nil {
			if errors.As(err, &wrong) && len(wrong) == 0 {
				t.Error("an error without an invalid key")
			}
			return
		}
		if s.Host.Name == "" || len(s.Auth.OperatorToken) < 16 || s.Peers.Fanout < 1 {
			t.Errorf("settings out of bounds were accepted: %+v", s)
		}
	})
}
