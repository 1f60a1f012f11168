// Package faults_test checks the guarantees to callers with real processes that
// are killed, paused and disconnected.
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
