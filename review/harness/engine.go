package main

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// prefillPerMs is how many prompt tokens an engine reads in a millisecond, tokensPerEvent those of an event, and
	// step the time between two events.
	prefillPerMs   = 50.7
	tokensPerEvent = 3
	step           = 20 * time.Millisecond
	// plainWork is the time of a request of the plain service.
	plainWork = 30 * time.Millisecond
	// plainQueue is how many requests wait at a plain engine beyond its slots.
	plainQueue = 2
	// garbleEvery is one in how many answers is followed by a second one while an engine garbles: 3 in 100.
	garbleEvery = 34
)

// engine is the stand-in of one engine.
type engine struct {
	id   string
	seen *os.File
	// garbling is the path of a file; while it exists, some answers are followed by a second one, late.
	garbling string
	slots    int

	prefill sync.Mutex // prompts are read one after the other

	mu      sync.Mutex
	cached  map[string]bool
	running int // requests of a plain engine that run or wait
	answers int
	slot    chan struct{}
}

// engineMain runs an engine until it is killed.
func engineMain(args []string) int {
	flags := flag.NewFlagSet("engine", flag.ExitOnError)
	id := flags.String("id", "", "its id")
	address := flags.String("address", "", "where it listens")
	dir := flags.String("dir", "", "where it writes what it sees")
	slots := flags.Int("slots", 64, "requests that it runs at once")
	kind := flags.String("kind", "model", "model or plain")
	_ = flags.Parse(args) // ends the process on an error
	seen, err := os.OpenFile(filepath.Join(*dir, *id+".seen"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	ln, err := net.Listen("tcp", *address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	e := &engine{id: *id, seen: seen, garbling: garbleFile(*dir, *id), slots: *slots, cached: map[string]bool{}, slot: make(chan struct{}, *slots)}
	if *kind == "plain" {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return exitNotRun
			}
			go e.servePlain(conn)
		}
	}
	fmt.Fprintln(os.Stderr, http.Serve(ln, e))
	return exitNotRun
}

// garbleFile returns the path of the file that makes an engine garble.
func garbleFile(dir, id string) string { return filepath.Join(dir, id+".garbles") }

// note writes one line of what the engine sees.
func (e *engine) note(format string, args ...any) {
	_, _ = fmt.Fprintf(e.seen, "%d %s\n", time.Now().UnixNano(), fmt.Sprintf(format, args...))
}

// ServeHTTP implements http.Handler for a model engine.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set("Arbutusmill-Instance-Id", e.id)
		return
	case "/arbutusmill/report":
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"stage":"both","state":"ready","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":1,"queued":0,"active":0,"kv_used":0,"kv_total":418121,"handles":0}`)
		return
	case "/arbutusmill/kv-list":
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"epoch":1,"next":1,"held":[]}`)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Arbutusmill-Attempt-Id")
	if id == "" {
		w.Header().Set("Arbutusmill-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if want := r.Header.Get("Arbutusmill-Expected-Instance"); want != "" && want != e.id {
		w.Header().Set("Arbutusmill-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.note("got %s, %d bytes", id, len(body))
	deadline, err := strconv.ParseInt(r.Header.Get("Arbutusmill-Deadline-Ms"), 10, 64)
	if err != nil {
		deadline = 12000
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(deadline)*time.Millisecond)
	defer cancel()
	e.stream(ctx, w, r, id)
}

// stream reads the prompt after those before it, and sends events.
func (e *engine) stream(ctx context.Context, w http.ResponseWriter, r *http.Request, id string) {
	if !e.read(ctx, r.Header.Get("Arbutusmill-Prefix-Hash")) {
		e.note("%s: its caller left before the first event", id)
		return
	}
	_, most, _ := strings.Cut(r.Header.Get("Arbutusmill-Token-Usage"), ",")
	output, _ := strconv.Atoi(most) // 0 without one
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	h := w.Header()
	h.Set("Arbutusmill-Attempt-Id", id)
	h.Set("Arbutusmill-Response-Signature", e.id+".sig")
	h.Set("Content-Type", "text/event-stream")
	e.note("runs %s", id)
	for n := last + 1; n <= output/tokensPerEvent; n++ {
		if !sleep(ctx, step) {
			e.note("%s: cut at event %d", id, n)
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n)
		_ = http.NewResponseController(w).Flush()
	}
	e.note("done %s", id)
}

// read reads the parts of a prompt that are not cached, and reports whether the caller still waits.
func (e *engine) read(ctx context.Context, parts string) bool {
	e.prefill.Lock()
	defer e.prefill.Unlock()
	tokens, prefix, cached := 0, "", true
	for part := range strings.SplitSeq(parts, ",") {
		id, size, _ := strings.Cut(part, ":")
		n, _ := strconv.Atoi(size)
		prefix += "/" + id
		e.mu.Lock()
		cached = cached && e.cached[prefix]
		e.cached[prefix] = true
		e.mu.Unlock()
		if !cached {
			tokens += n
		}
	}
	return sleep(ctx, time.Duration(float64(tokens)/prefillPerMs*float64(time.Millisecond)))
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// shed is the answer of an engine that is full, as the platform's page on messages shows it.
const shed = "HTTP/1.1 503 Service Unavailable\r\nArbutusmill-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// servePlain serves the connection of a plain engine: one request at a time.
func (e *engine) servePlain(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	second := false // a second answer to the request before is due where the next answer is expected
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get("Arbutusmill-Attempt-Id")
		want := req.Header.Get("Arbutusmill-Expected-Instance")
		var out string
		switch {
		case id == "":
			out = fmt.Sprintf("HTTP/1.1 200 OK\r\nArbutusmill-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", e.id)
		case want != "" && want != e.id:
			out = fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nArbutusmill-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", e.id)
		case !e.enter():
			e.note("sheds %s", id)
			out = shed
			second = e.garbles()
		default:
			e.note("runs %s", id)
			if second {
				second = false
				e.note("sends its answer before to a second time")
				if _, err := io.WriteString(conn, shed); err != nil {
					e.leave()
					return
				}
			}
			e.work()
			body := "answer to " + id + "\n"
			out = fmt.Sprintf("HTTP/1.1 200 OK\r\nArbutusmill-Attempt-Id: %s\r\nArbutusmill-Response-Signature: %s.sig\r\nContent-Length: %d\r\n\r\n%s", id, e.id, len(body), body)
			e.note("done %s", id)
			e.counted()
		}
		if _, err := io.WriteString(conn, out); err != nil {
			return
		}
	}
}

// enter takes a place at a plain engine, and reports whether there was one.
func (e *engine) enter() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running >= e.slots+plainQueue {
		return false
	}
	e.running++
	return true
}

func (e *engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

func (e *engine) work() {
	e.slot <- struct{}{}
	time.Sleep(plainWork)
	<-e.slot
	e.leave()
}

// counted counts an answer.
func (e *engine) counted() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answers++
}

// garbles counts an answer, and reports whether a second one follows it: at most one in garbleEvery.
func (e *engine) garbles() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answers++
	if _, err := os.Stat(e.garbling); err != nil || e.answers < garbleEvery {
		return false
	}
	e.answers = 0
	return true
}
