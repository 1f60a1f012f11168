package tokenstream_test

import (
	"errors"
	"testing"

	"github.com/hickoryfront/hickoryfront/core/tokenstream"
)

// TestAccept checks that a second attempt resumes where the first one ended, and
// that tokens out of place or of the first attempt do not extend the response.
func TestAccept(t *testing.T) {
	var a tokenstream.Assembly
	first, offset := a.Begin()
	if first != 1 || offset != 0 {
		t.Fatalf("first attempt is %d at offset %d, want 1 at offset 0", first, offset)
	}
	for i := range 3 {
		if accepted, err := a.Accept(first, tokenstream.Token{Offset: i}); err != nil || !accepted {
			t.Fatalf("token %d: %v, %v", i, accepted, err)
		}
	}
	second, offset := a.Begin()
	if offset != 3 {
		t.Fatalf("second attempt resumes at %d, want 3", offset)
	}
	if _, err := a.Accept(first, tokenstream.Token{Offset: 3}); !errors.Is(err, tokenstream.ErrStale) {
		t.Errorf("token of the first attempt: %v, want ErrStale", err)
	}
	if accepted, err := a.Accept(second, tokenstream.Token{Offset: 2}); err != nil || accepted {
		t.Errorf("token already accepted: %v, %v", accepted, err)
	}
	if _, err := a.Accept(second, tokenstream.Token{Offset: 4}); !errors.Is(err, tokenstream.ErrGap) {
		t.Errorf("token after a gap: %v, want ErrGap", err)
	}
	if accepted, err := a.Accept(second, tokenstream.Token{Offset: 3, Last: true}); err != nil || !accepted || !a.Done() {
		t.Errorf("last token: %v, %v, done %v", accepted, err, a.Done())
	}
	if accepted, _ := a.Accept(second, tokenstream.Token{Offset: 4}); accepted {
		t.Error("a token after the last was accepted")
	}
}
