package edgesoak_test

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/core/hoststate"
	"github.com/hickoryfront/hickoryfront/hickorylab/worker"
)

const (
	// workspaceCount is the number of workspaces that all documents have.
	workspaceCount = 3
	// probePeriod is the time between two requests with keys that change.
	probePeriod = 50 * time.Millisecond
	// probesPerKey is the number of these requests after which the key is revoked.
	probesPerKey = 20
)

type (
	// prober sends requests with keys that only one document each has.
	prober struct {
		environment *environment
		stop        chan struct{}
		probes      []probe
	}

	// probe is a request with the key of one document.
	probe struct {
		outcome outcome
		version int
	}
)

// securedConfiguration is configuration with workspaces, a public route and a split one. The
// workspace "changing" has another key in each document.
func securedConfiguration(version int, shop string) map[string]any {
	document := configuration(version, shop)
	lookup := document["routes"].([]any)[0].(map[string]any)
	lookup["public"] = true
	lookup["traffic-split"] = []any{map[string]any{"service": shop, "weight": 3}, map[string]any{"service": "annex", "weight": 1}}
	delete(lookup, "service")
	tenants := []any{map[string]any{"name": "changing", "api-keys": []any{changingKey(version)}}}
	for i := range workspaceCount {
		tenants = append(tenants, map[string]any{"name": fmt.Sprint("w-", i), "api-keys": []any{fmt.Sprint("secret-", i)}})
	}
	document["tenants"] = tenants
	return document
}

// changingKey returns the key that only the document with the given version has.
func changingKey(version int) string {
	return fmt.Sprintf("secret-of-%d", version)
}

// identify sets the key of a request and what the servers must receive instead of it.
func (c *caller) identify(request *http.Request, r callerRequest) {
	number := c.random.IntN(workspaceCount)
	key, tenant := fmt.Sprint("secret-", number), fmt.Sprint("w-", number)
	switch {
	case r.key != "":
		key, tenant = r.key, "changing"
	case r.path == "/lookup/" && c.random.IntN(3) == 0:
		key, tenant = "", worker.NoTenant
	}
	if key != "" {
		request.Header.Set("Authorization", []string{"Token ", "token "}[c.random.IntN(2)]+key)
	}
	request.Header.Set("Tenant", "forged")
	request.Header.Set("Connection", "Tenant, "+worker.WantedTenant+"-Unused")
	request.Header.Set(worker.WantedTenant, tenant)
}

// loop sends requests with the key of the newest document, or of one before.
func (p *prober) loop(random *rand.Rand) {
	e := p.environment
	versions := []int{1}
	for {
		select {
		case <-p.stop:
			return
		case <-time.After(probePeriod):
		}
		if len(p.probes)%probesPerKey == probesPerKey-1 {
			e.changeConfiguration(random)
		}
		if newest := e.newestVersion(); newest != versions[len(versions)-1] {
			versions = append(versions, newest)
		}
		version := versions[len(versions)-1-random.IntN(min(2, len(versions)))]
		p.probes = append(p.probes, probe{outcome: e.sendKey(random.IntN(hostCount), version), version: version})
	}
}

func (e *environment) newestVersion() int {
	if document := e.newest.Load(); document != nil {
		return (*document)["version"].(int)
	}
	return 1
}

// sendKey sends a request with the key that only the document with the given version has.
func (e *environment) sendKey(host, version int) outcome {
	c := &caller{environment: e, home: host, host: host, random: rand.New(rand.NewPCG(e.counter.Load(), 0))}
	defer c.close()
	request := e.newRequest("/hold/")
	request.key = changingKey(version)
	return c.attempt(request, time.Now().Add(callerTimeout))
}

// check requires that each probe got 401 exactly if its host had another document in force than
// the one with the key, and that no server and no log has seen a key.
func (p *prober) check(t *testing.T) {
	t.Helper()
	e := p.environment
	inForce := make(map[string]int)
	for i, host := range e.hosts {
		for line := range strings.Lines(host.Log()) {
			if strings.Contains(line, "secret-") {
				t.Errorf("host %d has logged a key: %s", i, line)
			}
			var ended struct {
				Message string
				Fields  struct {
					Request       string
					ConfigVersion int
				}
			}
			if json.Unmarshal([]byte(line), &ended) == nil && ended.Message == "request ended" {
				inForce[ended.Fields.Request] = ended.Fields.ConfigVersion
			}
		}
	}
	refused, served := 0, 0
	for _, x := range p.probes {
		o := x.outcome
		version := inForce[o.id]
		if o.err != nil || version == 0 {
			continue // the host was killed, has refused the connection or had no document yet
		}
		isRefused := o.status == http.StatusUnauthorized
		if isRefused == (version == x.version) {
			t.Errorf("%v with the key of document %d, while %d was in force; log of its host:\n%s", o, x.version, version, e.hostLog(o))
		}
		if isRefused {
			refused++
		} else {
			served++
		}
	}
	t.Logf("%d requests with the key of another document were refused, %d with that of the one in force were not", refused, served)
	if served == 0 || refused == 0 {
		t.Error("want requests with the key of the document in force, and with revoked ones")
	}
	for i := range hostCount {
		for _, path := range []string{hoststate.Path, "/metrics"} {
			if page := e.get("http://" + e.hostPort(i, 18083) + path); strings.Contains(page, "secret-") || !strings.Contains(page, "changing") {
				t.Errorf("page %s of host %d has a key, or lacks a workspace:\n%s", path, i, page)
			}
		}
	}
	for _, fault := range e.workers.IdentityFaults() {
		t.Errorf("server got a wrong identity: %s", fault)
	}
}

// get returns a page of a host.
func (e *environment) get(url string) string {
	response, err := e.client.Get(url)
	if err != nil {
		e.tb.Fatal(err)
	}
	defer response.Body.Close()
	page, err := io.ReadAll(response.Body)
	if err != nil {
		e.tb.Fatal(err)
	}
	return string(page)
}

// checkRevocation requires that a revoked key is refused by all hosts once the document without
// it is in force, and that the new one is served.
func (e *environment) checkRevocation(random *rand.Rand) {
	e.tb.Helper()
	before := e.newestVersion()
	e.changeConfiguration(random)
	after := e.newestVersion()
	e.awaitConfiguration(uint64(after))
	for host := range hostCount {
		if o := e.sendKey(host, before); o.status != http.StatusUnauthorized {
			e.tb.Errorf("%v with a revoked key, want status 401", o)
		}
		if o := e.sendKey(host, after); o.status != http.StatusOK {
			e.tb.Errorf("%v with a new key, want status 200", o)
		}
	}
}
