package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/contract"
	"github.com/arbutusmill/arbutusmill/coord/member"
	"github.com/arbutusmill/arbutusmill/hosted"
	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/prepaid"
	"github.com/arbutusmill/arbutusmill/process"
	"github.com/arbutusmill/arbutusmill/serving"
	"github.com/arbutusmill/arbutusmill/streamversion"
	"github.com/rs/zerolog"
)

const (
	// takeUpWindow is the longest time after its first event in which a stream may be taken up: callers wait for
	// less, over all their attempts.
	takeUpWindow = defaultTimeout
	// recordMargin is how much longer than its caller waits a stream is recorded.
	recordMargin = 2 * time.Second
	// streamCallTimeout is the timeout of one call about a stream: many times the latency between two processes.
	streamCallTimeout = 150 * time.Millisecond
	// maxQueuedRecords limits the records that wait to be sent; further ones are kept by this router only.
	maxQueuedRecords = 512
	// recordWorkers is how many records are sent at a time: a process that does not reply takes
	// streamCallTimeout.
	recordWorkers = 4
)

// versionSource says where the version that began a stream was found.
type versionSource string

// The sources.
const (
	// ownRecord is this router's record, otherRecord that of another process.
	ownRecord   versionSource = "own_record"
	otherRecord versionSource = "other_record"
	// soleVersion means that the service had one version for as long as streams can be taken up.
	soleVersion versionSource = "sole_version"
	// nowhere means that the version is not known.
	nowhere versionSource = "nowhere"
)

// streamVersions implements serving.StreamVersions. What engines of two software versions write does not fit
// together, and engines do not check which version began a stream that they are to continue.
//
// The router that sends a stream's first event records its version, and has it recorded by other processes,
// chosen by rendezvous hashing of the attempt's id: a lender, since all routers may restart together, and another
// router while the service has several versions. A caller may take the stream up at any router, which asks these
// processes. Without a record, a stream goes on only if the service had a single version for as long as streams
// can be taken up; see soleVersions. Otherwise the caller is refused.
type streamVersions struct {
	g        *Gateway
	registry streamversion.Registry
	queue    chan streamversion.Record
	sole     *soleVersions
	routers  memberNames
	lenders  memberNames
}

func newStreamVersions(g *Gateway) *streamVersions {
	return &streamVersions{g: g, queue: make(chan streamversion.Record, maxQueuedRecords), sole: newSoleVersions(g),
		routers: memberNames{role: prepaid.RoleRouter}, lenders: memberNames{role: prepaid.RoleLender}}
}

func (s *streamVersions) methods() map[string]link.Handler {
	methods := hosted.StreamMethods(&s.registry)
	methods[link.MethodSoleVersion] = link.Handle(s.sole.handle)
	return methods
}

func (s *streamVersions) start(tasks *process.TaskGroup) {
	for range recordWorkers {
		tasks.Go(s.sendRecords)
	}
}

func streamOf(r *serving.Request, attempt string) streamversion.Stream {
	return streamversion.Stream{Attempt: attempt, Team: r.Team, Service: r.Service.Name}
}

// Began implements serving.StreamVersions.
func (s *streamVersions) Began(r *serving.Request, version string) {
	if !r.Route.Resumable {
		return // nobody takes it up
	}
	now := time.Now()
	rec := streamversion.Record{Stream: streamOf(r, r.ID), Version: version, TTL: r.CallerDeadline.Sub(now) + recordMargin}
	if version == "" || !rec.Valid() {
		s.g.metrics.streamNotRecorded("not_identified")
		return
	}
	s.registry.Add(now, rec)
	select {
	case s.queue <- rec:
	default:
		s.g.metrics.streamNotRecorded("queue_full")
	}
}

// sendRecords sends queued records to other processes until the context ends.
func (s *streamVersions) sendRecords(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case rec := <-s.queue:
			s.sendRecord(ctx, rec)
		}
	}
}

// sendRecord has a record kept by a lender, or a router if there is none, and by a router while the service has
// several versions.
func (s *streamVersions) sendRecord(ctx context.Context, rec streamversion.Record) {
	routers, lenders := s.recorders(rec.Attempt)
	if len(lenders) > 0 {
		s.sendToFirst(ctx, rec, lenders)
	}
	if len(lenders) == 0 || s.hasSeveralVersions(rec.Service) {
		s.sendToFirst(ctx, rec, routers)
	}
}

// recorders returns the other processes that may have the record of a stream, in the order in which they are
// asked to keep it.
func (s *streamVersions) recorders(attempt string) (routers, lenders []member.Member) {
	routers = s.routers.top(s.g.Members, attempt, streamversion.Keepers, s.g.settings.VM)
	return routers, s.lenders.top(s.g.Members, attempt, streamversion.Keepers, s.g.settings.VM)
}

// sendToFirst sends a record to the first process that replies.
func (s *streamVersions) sendToFirst(ctx context.Context, rec streamversion.Record, candidates []member.Member) {
	for _, m := range candidates {
		callCtx, cancel := context.WithTimeout(ctx, streamCallTimeout)
		err := s.g.Links.Call(callCtx, m.Address, link.MethodStreamBegan, rec, nil)
		cancel()
		if err == nil {
			return
		}
		s.g.Log.Warn().Err(err).Str("id", rec.Attempt).Str("recorder", m.ID).Msg("stream_not_recorded")
	}
	s.g.metrics.streamNotRecorded("no_reply")
}

func (s *streamVersions) hasSeveralVersions(service string) bool {
	ups := s.g.directory.ForService(service)
	for _, u := range ups {
		if u.Version != ups[0].Version {
			return true
		}
	}
	return false
}

// found is the version that began a stream.
type found struct {
	version string
	source  versionSource
	// from is the process whose record or view it is.
	from string
	age  time.Duration
	// asked and answered count the other processes that may have a record.
	asked, answered int
}

// Find implements serving.StreamVersions.
func (s *streamVersions) Find(ctx context.Context, r *serving.Request) (string, *contract.Refusal) {
	f := s.find(ctx, r)
	s.g.metrics.streamTakenUp(r.Service.Name, f.source)
	line := s.g.Log.Info()
	if f.source == nowhere {
		line = s.g.Log.Warn()
	}
	s.logFound(line, r, f)
	if f.source == nowhere {
		return "", contract.Refuse(contract.StreamUnknown, "this router cannot find out which version of %s began the stream", r.Service.Name)
	}
	return f.version, nil
}

func (s *streamVersions) logFound(line *zerolog.Event, r *serving.Request, f found) {
	line.Str("id", r.ID).Str("service", r.Service.Name).Str("resumes", abbreviate(r.Resumes)).Str("after_event", abbreviate(r.LastEvent)).
		Str("version", f.version).Str("source", string(f.source)).Str("from", f.from).Int64("age_ms", f.age.Milliseconds()).
		Int("asked", f.asked).Int("answered", f.answered).Int64("view_age_ms", s.g.FollowedAge().Milliseconds()).Msg("stream_taken_up")
}

func (s *streamVersions) find(ctx context.Context, r *serving.Request) (f found) {
	stream := streamOf(r, r.Resumes)
	if stream.Valid() {
		if version, age, ok := s.registry.Find(time.Now(), stream); ok {
			return found{version: version, source: ownRecord, from: s.g.Incarnation, age: age}
		}
		if f = s.askRecorders(ctx, stream); f.source == otherRecord {
			return f
		}
	}
	if version, from, ok := s.sole.find(ctx, r.Service.Name); ok {
		f.version, f.source, f.from = version, soleVersion, from
		return f
	}
	f.source = nowhere
	return f
}

// askRecorders asks the processes that may have the record of a stream, all at once.
func (s *streamVersions) askRecorders(ctx context.Context, stream streamversion.Stream) (f found) {
	routers, lenders := s.recorders(stream.Attempt)
	replies := s.g.askAll(ctx, append(lenders, routers...), streamCallTimeout, link.MethodStreamFind, stream)
	for m := range replies {
		f.asked++
		if m.err != nil {
			continue
		}
		f.answered++
		if m.reply.Known {
			f.version, f.source, f.from, f.age = m.reply.Version, otherRecord, m.from, m.reply.Age
			return f
		}
	}
	return f
}

// versionAnswer is one process's answer to a question about a version.
type versionAnswer struct {
	from  string
	reply link.VersionReply
	err   error
}

// askAll asks processes at once for a version. The channel has one answer for each of them and is closed then; its
// receiver may stop earlier.
func (g *Gateway) askAll(ctx context.Context, members []member.Member, timeout time.Duration, method string, question any) <-chan versionAnswer {
	answers := make(chan versionAnswer, len(members))
	var calls sync.WaitGroup
	for _, m := range members {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			a := versionAnswer{from: m.ID}
			a.err = g.Links.Call(ctx, m.Address, method, question, &a.reply)
			answers <- a
		})
	}
	go func() {
		calls.Wait()
		close(answers)
	}()
	return answers
}
