// Package crowd_test starts real hosts of the users' platform with small limits and connects
// crowds of misbehaving peers to them. It checks that the process lives, that its memory and
// descriptors stay within its settings, and that an ordinary request is answered afterwards.
package crowd_test

import (
	"os"
	"testing"

	"github.com/hickoryfront/hickoryfront/hickorylab/harness"
)

var binaries harness.Binaries

func TestMain(m *testing.M) {
	os.Exit(harness.Main(m, &binaries))
}
