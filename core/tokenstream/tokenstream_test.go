package tokenstream_test

import (
	"errors"
	"testing"

	"github.com/hickoryfront/hickoryfront/core/tokenstream"
)

func TestAccept(t *testing.T) {
	var a tokenstream.Assembly
	first, offset := a.Begin()
	if first != 1 || offset != 0 {
		t.Fatalf("first attempt is %d at %d", first, offset)
	}
	for i := range 3 {
		if taken, err := a.Accept(first, tokenstream.Token{Offset: i}); err != nil || !taken {
			t.Fatalf("token %d: %v, %v", i, taken, err)
		}
	}
	second, offset := a.Begin()
	if offset != 3 {
		t.Fatalf("second attempt resumes at %d, want 3", offset)
	}
	if _, err := a.Accept(first, tokenstream.Token{Offset: 3}); !errors.Is(err, tokenstream.ErrStale) {
		t.Errorf("token of the first attempt: %v, want ErrStale", err)
	}
	if taken, err := a.Accept(second, tokenstream.Token{Offset: 2}); err != nil || taken {
		t.Errorf("token already taken: %v, %v", taken, err)
	}
	if _, err := a.Accept(second, tokenstream.Token{Offset: 4}); !errors.Is(err, tokenstream.ErrGap) {
		t.Errorf("token after a gap: %v, want ErrGap", err)
	}
	if taken, err := a.Accept(second, tokenstream.Token{Offset: 3, Last: true}); err != nil || !taken || !a.Done() {
		t.Errorf("last token: %v, %v, done %v", taken, err, a.Done())
	}
	if taken, _ := a.Accept(second, tokenstream.Token{Offset: 4}); taken {
		t.Error("a token after the last was taken")
	}
}
