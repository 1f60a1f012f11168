package eventstream_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"

	"github.com/hickoryfront/hickoryfront/core/eventstream"
)

// plenty is memory without a bound, and little one of so many bytes.
type (
	plenty struct{}
	little int64
)

func (plenty) Hold(int64) bool { return true }

func (l little) Hold(size int64) bool { return size <= int64(l) }

// TestEventWithoutMemory guards against an event that takes memory which is not left.
func TestEventWithoutMemory(t *testing.T) {
	r := eventstream.NewReader(strings.NewReader("id: 1\n\ndata: "+strings.Repeat("x", 50_000)+"\n\n"), little(20_000))
	if event, err := r.Next(); err != nil || event.ID != 1 {
		t.Errorf("event %d, error %v; want the first one", event.ID, err)
	}
	if _, err := r.Next(); !errors.Is(err, eventstream.ErrNoMemory) {
		t.Errorf("error %v, want %v", err, eventstream.ErrNoMemory)
	}
}

// TestReader checks that only complete events are returned, and that only an end
// between events counts as complete.
func TestReader(t *testing.T) {
	broken := errors.New("connection reset")
	tests := []struct {
		name       string
		body       io.Reader
		want       []string
		isComplete bool
	}{
		{name: "events", body: strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), want: []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, isComplete: true},
		{name: "byte by byte", body: iotest.OneByteReader(strings.NewReader("id: 1\ndata: a\n\n")), want: []string{"id: 1\ndata: a\n\n"}, isComplete: true},
		{name: "carriage returns", body: strings.NewReader("id: 1\r\ndata: a\r\n\r\n"), want: []string{"id: 1\r\ndata: a\r\n\r\n"}, isComplete: true},
		{name: "long event", body: strings.NewReader("data: " + strings.Repeat("x", 5000) + "\n\n"), want: []string{"data: " + strings.Repeat("x", 5000) + "\n\n"}, isComplete: true},
		{name: "ends inside an event", body: strings.NewReader("id: 1\ndata: a\n\nid: 2\nda"), want: []string{"id: 1\ndata: a\n\n"}},
		{name: "ends inside an empty line", body: strings.NewReader("id: 1\ndata: a\n"), want: nil},
		{name: "reset between events", body: io.MultiReader(strings.NewReader("id: 1\n\n"), iotest.ErrReader(broken)), want: []string{"id: 1\n\n"}},
		{name: "empty", body: strings.NewReader(""), isComplete: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := eventstream.NewReader(tt.body, plenty{})
			var got []string
			for {
				event, err := r.Next()
				if err != nil {
					if r.IsComplete(err) != tt.isComplete {
						t.Errorf("complete %t, want %t", !tt.isComplete, tt.isComplete)
					}
					break
				}
				got = append(got, string(event.Bytes))
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("events (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRelayTakesEventsOnly guards against bytes in a stream that are no event of it: the text of an
// error or the head of another response.
func TestRelayTakesEventsOnly(t *testing.T) {
	for text, want := range map[string]error{
		"id: 1\ndata: a\n\n":            nil,
		": comment\nid: 1\n\n":          nil,
		"weight-versions: 3\nid: 1\n\n": nil,
		": ping\r\n\r\n":                nil,
		"\n":                            nil,
		"overloaded\n\n":                eventstream.ErrNoID,
		"event: error\ndata: x\n\n":     eventstream.ErrNoID,
		"id: none\n\n":                  eventstream.ErrNoID,
		"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n": eventstream.ErrNoID,
	} {
		event, err := eventstream.NewReader(strings.NewReader(text), plenty{}).Next()
		if err != nil {
			t.Fatal(err)
		}
		if isNew, err := eventstream.NewRelay(0, false).Accept(event); !errors.Is(err, want) || isNew != (want == nil) {
			t.Errorf("%q is accepted: %t, error %v; want error %v", text, isNew, err, want)
		}
	}
}

// TestRelayJoinsRuns checks that the caller gets each event once when several
// runs supply the stream, and that a missing event is an error.
func TestRelayJoinsRuns(t *testing.T) {
	event := func(id uint64) eventstream.Event { return eventstream.Event{ID: id, HasID: true} }
	tests := []struct {
		name      string
		last      uint64
		isResumed bool
		runs      []uint64
		want      []uint64
		wantErr   bool
	}{
		{name: "one run", runs: []uint64{1, 2, 3}, want: []uint64{1, 2, 3}},
		{name: "events repeated by a second run are dropped", runs: []uint64{1, 2, 2, 3}, want: []uint64{1, 2, 3}},
		{name: "continues at the caller's position", last: 7, isResumed: true, runs: []uint64{7, 8}, want: []uint64{8}},
		{name: "a gap breaks the stream", runs: []uint64{1, 3}, want: []uint64{1}, wantErr: true},
		{name: "a gap after the caller's position breaks it", last: 7, isResumed: true, runs: []uint64{9}, wantErr: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			relay := eventstream.NewRelay(tt.last, tt.isResumed)
			var got []uint64
			var failed error
			for _, id := range tt.runs {
				isNew, err := relay.Accept(event(id))
				if err != nil {
					failed = err
					break
				}
				if isNew {
					got = append(got, id)
				}
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("events (-want +got):\n%s", diff)
			}
			if errors.Is(failed, eventstream.ErrGap) != tt.wantErr {
				t.Errorf("error %v", failed)
			}
		})
	}
}

func FuzzReader(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n")
	f.Add("\n\n\r\n\r\n")
	f.Fuzz(func(t *testing.T, body string) {
		r := eventstream.NewReader(strings.NewReader(body), plenty{})
		var joined strings.Builder
		for {
			event, err := r.Next()
			if err != nil {
				break
			}
			joined.Write(event.Bytes)
		}
		if !strings.HasPrefix(body, joined.String()) {
			t.Errorf("events %q are not a prefix of %q", joined.String(), body)
		}
	})
}
