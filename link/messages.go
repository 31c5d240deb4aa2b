package link

import (
	"time"

	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/coord/ledger"
	"github.com/arbutusmill/arbutusmill/coord/member"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/poison"
	"github.com/arbutusmill/arbutusmill/prefill"
	"github.com/arbutusmill/arbutusmill/ratelimit"
)

// Methods of routers.
const (
	// MethodLend requests a lot: LendRequest, grant.Lot.
	MethodLend = "budget.lend"
	// MethodCancelLend ends a request for a lot whose caller is gone: CancelLendRequest, Empty.
	MethodCancelLend = "budget.cancel"
	// MethodReturn settles lots: ReturnRequest, Empty.
	MethodReturn = "budget.return"
	// MethodDisown asks which lots the other side does not have: DisownRequest, DisownReply.
	MethodDisown = "budget.disown"
	// MethodBorrowed asks a borrower for its final use of a dead lender's tokens:
	// BorrowedRequest, grant.Borrowed.
	MethodBorrowed = "budget.borrowed"
	// MethodLimits sends a lender's exposure limits to a witness: settlement.Notice, Empty.
	MethodLimits = "budget.limits"
	// MethodWitnessLimits asks a witness for a dead lender's exposure limits: LimitsRequest,
	// settlement.WitnessAnswer.
	MethodWitnessLimits = "budget.testify"
	// MethodConfirm asks what a process holds on pages of budgets after the store was restored: ConfirmRequest, ConfirmReply.
	MethodConfirm = "budget.confirm"
	// MethodEnded announces that a process ends, and lends and spends nothing any more: EndedNotice, Empty.
	MethodEnded = "budget.ended"
	// MethodHoldings sends a router what another one holds, before that uses it: HoldingsNotice, Empty.
	MethodHoldings = "budget.holdings"
	// MethodWatermarks asks for the durable watermarks of rows: WatermarkRequest,
	// WatermarkReply.
	MethodWatermarks = "budget.watermarks"
	// MethodAppend makes charges durable: AppendRequest, AppendReply.
	MethodAppend = "ledger.append"
)

// Methods of the processes on the VMs of engines.
const (
	// MethodAnnounce announces a prompt before it is sent to the engine:
	// prefill.Announcement, prefill.AnnounceReply.
	MethodAnnounce = "upstream.announce"
	// MethodWithdraw withdraws an announcement: Withdrawal, Empty.
	MethodWithdraw = "upstream.withdraw"
	// MethodLimit reports the rate limit in a response of the engine and returns the current
	// one: LimitReport, ratelimit.State.
	MethodLimit = "upstream.limit"
	// MethodRemotePrefill reports that a shared part of prompts is prefilled by another engine
	// than its preferred one. It is sent to the process on the preferred engine's VM:
	// prefill.RemotePrefill, Empty.
	MethodRemotePrefill = "upstream.read_elsewhere"
)

// Methods of routers for prompts that crash upstreams. One router, the owner, decides for each
// prompt.
const (
	// MethodPromptEnded reports to the prompt's owner that an upstream crashed:
	// poison.Evidence; the reply is all evidence on the prompt, poison.Evidence.
	MethodPromptEnded = "prompt.ended"
	// MethodPromptTry asks the prompt's owner whether the prompt may be sent: PromptTry,
	// PromptTryReply.
	MethodPromptTry = "prompt.try"
	// MethodPromptKnown sends the evidence on a prompt to any router: poison.Evidence, Empty.
	MethodPromptKnown = "prompt.known"
	// MethodPromptCleared reports to any router that a service answered a prompt, which clears
	// it: PromptAnswered, Empty.
	MethodPromptCleared = "prompt.cleared"
	// MethodPromptList asks any router, or a process on an upstream's VM that stores them, for
	// the prompts under which upstreams crashed: Empty, []poison.Evidence.
	MethodPromptList = "prompt.list"
	// MethodConfig asks any router for its configuration if it is newer: ConfigRequest, ConfigReply.
	MethodConfig = "config.newer"
	// MethodPromptEvidence asks the same processes also for the prompts that were only answered:
	// Empty, []poison.Evidence. A process without it returns ErrUnknownMethod.
	MethodPromptEvidence = "prompt.evidence"
	// MethodPromptKeep stores the routers' evidence on prompts at a process on an upstream's VM:
	// PromptKeep; the reply is all evidence there on these prompts, []poison.Evidence.
	MethodPromptKeep = "prompt.keep"
)

// MethodRollout reports what a router observed of a roll-out to the router that decides on it:
// rollout.Report, rollout.Directive.
const MethodRollout = "rollout.report"

// Methods for the versions that began streams.
const (
	// MethodStreamBegan records which version began a stream, at any process: streamversion.Record, Empty.
	MethodStreamBegan = "stream.began"
	// MethodStreamsMoved passes on records of a process that is not asked for them any more:
	// []streamversion.Record, Empty.
	MethodStreamsMoved = "stream.moved"
	// MethodStreamFind asks a process which version began a stream: streamversion.Stream, VersionReply.
	MethodStreamFind = "stream.find"
	// MethodSoleVersion asks a router whether all streams of a service that can still be taken up began at one
	// version: SoleVersionRequest, VersionReply.
	MethodSoleVersion = "stream.sole_version"
)

// VersionReply is a version of a service's software, if it is known.
type VersionReply struct {
	Version string `json:"version,omitempty"`
	Known   bool   `json:"known,omitempty"`
	// Age is the age of the record of that version.
	Age time.Duration `json:"age_ns,omitempty"`
}

// SoleVersionRequest names a service.
type SoleVersionRequest struct {
	Service string `json:"service"`
}

// PromptKeep holds changes to store. Answered is applied before Known, since a process that does not
// read the times of answers removes all crashes of the services in Answered.
type PromptKeep struct {
	Answered []PromptAnswered  `json:"answered,omitempty"`
	Known    []poison.Evidence `json:"known,omitempty"`
}

// PromptTry asks whether a request may send a prompt to a service.
type PromptTry struct {
	Prompt  poison.Prompt `json:"prompt"`
	Service string        `json:"service"`
	Request string        `json:"request"`
	// Known is the evidence of the router that asks, empty in messages of processes without this field.
	Known poison.Evidence `json:"known"`
	// Explained is set if another part of prompts, which the request does not have, may have caused all crashes
	// of this part.
	Explained bool `json:"explained,omitempty"`
}

// PromptTryReply is the decision, with the evidence behind it.
type PromptTryReply struct {
	Allowed bool            `json:"allowed"`
	Known   poison.Evidence `json:"known"`
}

// PromptAnswered names a prompt that a service answered.
type PromptAnswered struct {
	Prompt  poison.Prompt `json:"prompt"`
	Service string        `json:"service"`
	// Age and UnixMS are those of poison.Answer, 0 in messages of processes without these fields.
	Age    time.Duration `json:"age_ns,omitempty"`
	UnixMS int64         `json:"unix_ms,omitempty"`
}

// NewPromptAnswered returns the message about an answer.
func NewPromptAnswered(p poison.Prompt, a poison.Answer) PromptAnswered {
	return PromptAnswered{Prompt: p, Service: a.Service, Age: a.Age, UnixMS: a.UnixMS}
}

// Answer returns the answer in the form that a registry of prompts merges.
func (a PromptAnswered) Answer() poison.Answer {
	return poison.Answer{Service: a.Service, Age: a.Age, UnixMS: a.UnixMS}
}

// LimitReport is the rate limit in a response of one incarnation of an engine.
type LimitReport struct {
	// StartUnixMS is the start time of that incarnation; see directory.Incarnation.
	StartUnixMS int64                `json:"born,omitempty"`
	Limit       ratelimit.NamedLimit `json:"word"`
}

// MethodFollow requests the store's changes from a relay: relay.Request, relay.Reply.
const MethodFollow = "store.follow"

// Withdrawal withdraws an announcement; it holds the announcement and the reply to it.
type Withdrawal struct {
	Announcement prefill.Announcement  `json:"announcement"`
	Reply        prefill.AnnounceReply `json:"told"`
}

// Methods of routers and agents.
const (
	// MethodFence fences a dead holder: FenceRequest; routers answer with
	// recovery.PeerEvidence, agents with recovery.Evidence.
	MethodFence = "recovery.fence"
	// MethodSettleLot settles a dead borrower's lot from the collected evidence:
	// grant.LotReturn, Empty.
	MethodSettleLot = "recovery.settle_lot"
)

// Methods of agents.
const (
	// MethodForget drops the evidence on a holder whose recovery is complete: FenceRequest, Empty.
	MethodForget = "recovery.forget"
	// MethodOutcome asks for the outcome of a request: OutcomeRequest, OutcomeReply.
	MethodOutcome = "work.outcome"
)

// Empty is a reply without content.
type Empty struct{}

// LendRequest requests a lot of a budget.
type LendRequest struct {
	Borrower string `json:"borrower"`
	Budget   string `json:"budget"`
	// ID identifies the request, so that a retry has no further effect.
	ID string `json:"id"`
	// Need is the tokens that the current request lacks, Want the tokens that would be useful.
	Need int64 `json:"need"`
	Want int64 `json:"want"`
	// Limit is the budget's tokens in the configuration with the given Version; both
	// are 0 where the lender reads the configuration itself.
	Limit   int64 `json:"limit,omitempty"`
	Version int64 `json:"version,omitempty"`
	// Rank is the request's priority, and WaitMS how long it may wait (ms) while all that is left is reserved. Processes
	// without these fields send none and are answered at once.
	Rank   int   `json:"rank,omitempty"`
	WaitMS int64 `json:"wait_ms,omitempty"`
}

// CancelLendRequest ends a LendRequest whose reply is not used.
type CancelLendRequest struct {
	Borrower string `json:"borrower"`
	Budget   string `json:"budget"`
	// ID is that of the LendRequest.
	ID string `json:"id"`
}

// reservedData is sent with grant.ErrAllReserved.
type reservedData struct {
	RetryAfterMS int64 `json:"retry_after_ms"`
}

// ReturnRequest settles lots of one lender.
type ReturnRequest struct {
	Lots []grant.LotReturn `json:"lots"`
}

// DisownRequest lists lots that the lender recorded as lent to the other side.
type DisownRequest struct {
	// Borrower is the incarnation of the other side that requested them.
	Borrower string       `json:"borrower"`
	Parts    []grant.Part `json:"parts"`
}

// DisownReply lists the lots that the other side does not have and never will have.
type DisownReply struct {
	Parts []grant.Part `json:"parts"`
}

// BorrowedRequest asks how much a borrower used of a dead lender's tokens.
type BorrowedRequest struct {
	// Borrower is the incarnation that must answer.
	Borrower string `json:"borrower"`
	Lender   string `json:"lender"`
}

// LimitsRequest asks for the exposure limits of a dead lender.
type LimitsRequest struct {
	// Witness is the incarnation that must answer.
	Witness string `json:"witness"`
	Lender  string `json:"lender"`
	// Term is the term of the lender's list of witnesses.
	Term int64 `json:"term"`
}

// ConfirmRequest asks a process to confirm its rows on pages that are closed since the store was restored from an older copy.
type ConfirmRequest struct {
	// Holder is the incarnation that must answer.
	Holder string `json:"holder"`
	// Era is the store's era in which the pages are to be opened, Since the oldest one in which one of them was open. Processes that
	// ended before a restoration up to Since do not count.
	Era   store.Era `json:"era"`
	Since store.Era `json:"since,omitempty"`
	Pages []string  `json:"pages"`
	// Known lists members that are not listed any more and that the caller counts; the reply leaves them out.
	Known []string `json:"known,omitempty"`
	// AllMembers asks for all members that the process has, not only those that are not listed any more.
	AllMembers bool `json:"all_members,omitempty"`
}

// ConfigRequest asks for the active configuration if its version is higher.
type ConfigRequest struct {
	Version int64 `json:"version"`
}

// ConfigReply is the active configuration as operators wrote it; Version is 0 if it is not newer.
type ConfigReply struct {
	Version  int64  `json:"version,omitempty"`
	Document []byte `json:"document,omitempty"`
}

// HoldingsNotice is what a router holds of budgets of a page.
type HoldingsNotice struct {
	Holder string                          `json:"holder"`
	Page   string                          `json:"page"`
	Rows   map[string]account.Confirmation `json:"rows"`
}

// EndedNotice announces that an incarnation ends.
type EndedNotice struct {
	Holder string `json:"holder"`
}

// ConfirmReply is what a process holds. Its tokens do not become more until the pages are open.
type ConfirmReply struct {
	// Known is set if the incarnation that was asked has answered.
	Known bool `json:"known"`
	// ViewSince is the store's era since which the process has had the list of members, once ViewKnown is set.
	ViewSince store.Era `json:"view_since"`
	ViewKnown bool      `json:"view_known"`
	// Rows are its rows by page and budget.
	Rows map[string]map[string]account.Confirmation `json:"rows,omitempty"`
	// Held is the most that other routers can have used, by their notices, by router, page and budget.
	Held map[string]map[string]map[string]int64 `json:"held,omitempty"`
	// Members are the members that were listed lately and are not any more, or all of them, without those that the caller counts.
	Members []member.Member `json:"members,omitempty"`
}

// AppendRequest holds charges to append to one shard.
type AppendRequest struct {
	Shard   int             `json:"shard"`
	Charges []ledger.Charge `json:"charges"`
}

// AppendReply confirms that all charges are durable.
type AppendReply struct {
	// Floor is the number of the shard's last segment.
	Floor int64 `json:"floor"`
}

// FenceRequest names a holder whose tokens must not be used any more.
type FenceRequest struct {
	Holder string `json:"holder"`
}

// WatermarkRequest asks for the watermarks of one holder's rows.
type WatermarkRequest struct {
	Holder  string   `json:"holder"`
	Budgets []string `json:"budgets"`
	// Urgent asks the holder to report first, since the agent is leaving.
	Urgent bool `json:"urgent"`
}

// WatermarkReply maps each budget to its row's durable watermark.
type WatermarkReply struct {
	Through map[string]int64 `json:"through"`
}

// OutcomeRequest names the reservation of a request.
type OutcomeRequest struct {
	Reservation grant.Reservation `json:"reservation"`
}

// OutcomeReply is an agent's state of a request.
type OutcomeReply struct {
	Known   bool `json:"known"`
	Running bool `json:"running"`
	// Used is the billed amount in tokens once the request ended.
	Used int64 `json:"used"`
}
