package slot_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/hickoryfront/hickoryfront/core/slot"
)

func TestAttemptID(t *testing.T) {
	want := slot.AttemptID{Holder: slot.Holder{Host: "salt lake:1%", Incarnation: 1<<63 + 5}, Request: "a:b", Attempt: 3}
	got, ok := slot.ParseAttemptID(want.String())
	if !ok {
		t.Fatalf("%q is not parsed", want)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestParseAttemptIDOfOtherSystems(t *testing.T) {
	for _, text := range []string{"", "7b2", "hf", "hf:host:1:r", "hf:host:1:r:0", "hf:host:-:r:1", "hf::1:r:1", "xx:host:1:r:1", "hf:host:1:r:1:2", "hf:%zz:1:r:1"} {
		if id, ok := slot.ParseAttemptID(text); ok {
			t.Errorf("%q of another system is parsed as %+v", text, id)
		}
	}
}

func FuzzParseAttemptID(f *testing.F) {
	f.Add("hf:host-1:a:0b:1")
	f.Fuzz(func(t *testing.T, text string) {
		id, ok := slot.ParseAttemptID(text)
		if !ok {
			return
		}
		again, ok := slot.ParseAttemptID(id.String())
		if !ok || again != id {
			t.Errorf("%q: %+v became %+v", text, id, again)
		}
	})
}
