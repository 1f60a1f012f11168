// Package faults_test checks the guarantees to callers with real processes that
// are killed, paused and disconnected.
//
// The home of an idempotency key is the daemon that decides on the claims of the key.
// The home of a backend server is the daemon that owns the server's slot ledger.
package faults_test

import (
	"os"
	"testing"

	"github.com/hickoryfront/hickoryfront/hickorylab/harness"
)

var binaries harness.Binaries

func TestMain(m *testing.M) {
	os.Exit(harness.Main(m, &binaries))
}
