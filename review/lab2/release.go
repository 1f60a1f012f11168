package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["second-answer-in-release"] = secondAnswerInRelease
}

const (
	// garbleShare and garbleRate are the largest dose of garble with extra in the site file.
	garbleShare = 0.6
	garbleRate  = 0.03
	// releaseTime is how long workers are replaced, one after the other.
	releaseTime = 60 * time.Second
	pieces      = 160
)

// secondAnswerInRelease: the model workers are replaced one after the other, and some send some
// of their answers a second time, late.
func secondAnswerInRelease(l *lab, directory string) error {
	if err := l.startStore(); err != nil {
		return err
	}
	l.configure(3)
	octet := 20
	start := func(stage string) (*worker, error) {
		octet++
		return l.workers.start("lekhak", stage, fmt.Sprintf("zone-%d", octet%4), l.address(octet, workerPort), 64, 10*time.Millisecond, 0)
	}
	var decode []*worker
	for range 2 {
		if _, err := start("prefill"); err != nil {
			return err
		}
	}
	for range 4 {
		w, err := start("decode")
		if err != nil {
			return err
		}
		decode = append(decode, w)
	}
	if err := l.startHosts(directory, 3, []string{"zone-0", "zone-1", "zone-2"}, nil); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	clients.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			clients.Go(func() { l.readStream(l.hosts[i%len(l.hosts)]) })
			time.Sleep(20 * time.Millisecond)
		}
	})
	time.Sleep(2 * time.Second)
	for end := time.Now().Add(releaseTime); time.Now().Before(end); time.Sleep(time.Second) {
		next, err := start("decode")
		if err != nil {
			return err
		}
		if l.trouble && l.rng.Float64() < garbleShare {
			decode[0].mu.Lock()
			decode[0].extra = garbleRate
			decode[0].mu.Unlock()
		}
		time.Sleep(time.Second)
		old := decode[0]
		decode = append(decode[1:], next)
		old.mu.Lock()
		l.logf("worker %s drains with %d streams, rate of second answers %.2f", old.id, len(old.runs), old.extra)
		old.mu.Unlock()
		old.drain()
		time.AfterFunc(drainTimeout+time.Second, func() {
			old.mu.Lock()
			old.extra = 0
			old.mu.Unlock()
			l.store.remove(old.key())
			time.Sleep(time.Second)
			old.crash()
		})
	}
	cancel()
	clients.Wait()
	l.mu.Lock()
	foreigns := append([]string{}, l.foreigns...)
	l.mu.Unlock()
	for _, f := range foreigns {
		l.breaks("MIXED: %s", f)
	}
	return nil
}

// readStream sends a streaming request and checks that all pieces belong to it.
func (l *lab) readStream(h *host) {
	id := l.newID()
	request, err := http.NewRequest(http.MethodPost, "http://"+h.front()+"/match/a", strings.NewReader(strings.Repeat("s", 300)))
	if err != nil {
		return
	}
	request.Host = "ficu95.example"
	for name, value := range map[string]string{"Request-Id": id, "Deadline-Ms": "14000", "Model": "m", "Token-Counts": fmt.Sprintf("200,%d", pieces), "Prompt-Prefix": "5c1e07a2:100," + id + ":100"} {
		request.Header.Set(name, value)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 14*time.Second)
	defer cancel()
	response, err := l.client().Do(request.WithContext(ctx))
	if err != nil {
		l.logf("client: stream %s: %v", id, err)
		return
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	got, foreign := 0, ""
	var versions []string
	for lines.Scan() {
		text, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		got++
		if !strings.HasPrefix(text, id) && foreign == "" {
			foreign = text
		}
		if _, version, _ := strings.Cut(text, " of "); !slices.Contains(versions, version) {
			versions = append(versions, version)
		}
	}
	if len(versions) > 1 {
		l.logf("client: stream %s holds events of the versions %v", id, versions)
		l.mixed.Add(1)
	}
	if foreign != "" {
		l.logf("client: stream %s got a piece of another request: %q", id, foreign)
		l.breaks("MIXED: the client of request %s got a piece of another request: %q", id, foreign)
	}
	if got != pieces || lines.Err() != nil {
		l.logf("client: stream %s: status %d, %d of %d pieces, %v", id, response.StatusCode, got, pieces, lines.Err())
	}
}

var (
	clientOnce sync.Once
	httpClient *http.Client
)

func (l *lab) client() *http.Client {
	clientOnce.Do(func() {
		httpClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	})
	return httpClient
}
