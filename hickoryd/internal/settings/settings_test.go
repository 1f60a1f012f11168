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

const valid = `[host]
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

func TestParse(t *testing.T) {
	tests := []struct {
		name string
		text string
		want []string // parts of the error; none: accepted
	}{
		{name: "valid", text: valid},
		{name: "all wrong keys at once", text: strings.Replace(valid, "name = host-1", "nam = host-1\nname =", 1) + "[peers]\nfanout = many\n", want: []string{
			"[host] nam: unknown key", "[host] name: missing", "[peers] fanout: \"many\"",
		}},
		{name: "duplicate key", text: valid + "[peers]\nfanout = 3\nfanout = 3\n", want: []string{"[peers] fanout: set more than once"}},
		{name: "duplicate key in a section that stands twice", text: valid + "[host]\nname = host-2\n", want: []string{"[host] name: set more than once"}},
		{name: "certificate without key", text: valid + "[tls]\ncertificate = x\n", want: []string{"[tls] certificate"}},
		{name: "one address twice", text: strings.Replace(valid, "127.0.0.1:3", "127.0.0.1:1", 1), want: []string{"[listen] caller"}},
		{name: "silence shorter than a heartbeat", text: valid + "[peers]\ntimeout = 100ms\n", want: []string{"[peers] timeout"}},
		{name: "short token", text: strings.Replace(valid, "a#token;of-16-characters", "short", 1), want: []string{"[auth] operatorToken: too short"}},
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

func TestLoadNamesTheFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "host.ini")
	if err := os.WriteFile(path, []byte("[host]\nname = a\nroom = 3\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := settings.Load(path)
	if !errors.Is(err, settings.ErrInvalid) || !strings.Contains(err.Error(), path+": [host] room: unknown key\n") {
		t.Errorf("got error %v, want ErrInvalid with file, section and key on a line", err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(valid)
	f.Add("[host]\nname\n")
	f.Add("[a]\nb=%(c)s\nc=%(b)s\n")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := settings.Parse([]byte(text))
		var wrong setting.Errors
		if err != nil {
			if errors.As(err, &wrong) && len(wrong) == 0 {
				t.Error("an error without a wrong key")
			}
			return
		}
		if s.Host.Name == "" || len(s.Auth.OperatorToken) < 16 || s.Peers.Fanout < 1 {
			t.Errorf("settings out of bounds were accepted: %+v", s)
		}
	})
}
