package link

import (
	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/coord/ledger"
	"github.com/arbutusmill/arbutusmill/poison"
	"github.com/arbutusmill/arbutusmill/prefill"
	"github.com/arbutusmill/arbutusmill/ratelimit"
)

// Methods of routers.
const (
	// MethodLend asks for a lot: LendRequest, grant.Lot.
	MethodLend = "budget.lend"
	// MethodReturn settles lots: ReturnRequest, Empty.
	MethodReturn = "budget.return"
	// MethodDisown asks which lots are not there: DisownRequest, DisownReply.
	MethodDisown = "budget.disown"
	// MethodBorrowed asks a borrower for its final word on a dead lender:
	// BorrowedRequest, grant.Borrowed.
	MethodBorrowed = "budget.borrowed"
	// MethodLimits brings a lender's limits of exposure to a witness: settlement.Notice, Empty.
	MethodLimits = "budget.limits"
	// MethodTestify asks a witness for a dead lender's limits: LimitsRequest,
	// settlement.Testimony.
	MethodTestify = "budget.testify"
	// MethodWatermarks asks how far rows are reported durably:
	// WatermarkRequest, WatermarkReply.
	MethodWatermarks = "budget.watermarks"
	// MethodAppend makes charges durable: AppendRequest, AppendReply.
	MethodAppend = "ledger.append"
)

// Methods of processes beside engines.
const (
	// MethodAnnounce tells of a prompt that is sent to the engine:
	// prefill.Announcement, prefill.Told.
	MethodAnnounce = "upstream.announce"
	// MethodWithdraw takes an announcement back: Withdrawal, Empty.
	MethodWithdraw = "upstream.withdraw"
	// MethodLimit tells what an answer of the engine said of the requests a second that it takes, and
	// asks what is known: LimitNamed, ratelimit.Known.
	MethodLimit = "upstream.limit"
	// MethodReadElsewhere tells the process beside the engine that prompts with a shared part
	// prefer that another engine reads it: prefill.Elsewhere, Empty.
	MethodReadElsewhere = "upstream.read_elsewhere"
)

// Methods of routers on prompts that end upstreams. One router decides for each prompt.
const (
	// MethodPromptEnded tells the router that decides of an upstream that ended:
	// poison.Evidence, and all that is known of the prompt, poison.Evidence.
	MethodPromptEnded = "prompt.ended"
	// MethodPromptTry asks it whether the prompt may be sent: PromptTry, PromptTryReply.
	MethodPromptTry = "prompt.try"
	// MethodPromptKnown tells any router what is known of a prompt: poison.Evidence, Empty.
	MethodPromptKnown = "prompt.known"
	// MethodPromptCleared tells any router that nothing speaks against a prompt any more:
	// PromptAnswered, Empty.
	MethodPromptCleared = "prompt.cleared"
	// MethodPromptList asks any router, or a process beside an upstream that keeps them, which
	// prompts upstreams ended under: Empty, []poison.Evidence.
	MethodPromptList = "prompt.list"
	// MethodPromptKeep has a process beside an upstream keep what routers know of prompts:
	// PromptKeep, and all that is known there of these prompts, []poison.Evidence.
	MethodPromptKeep = "prompt.keep"
)

// PromptKeep is what changed. What was answered comes before what is known.
type PromptKeep struct {
	Answered []PromptAnswered  `json:"answered,omitempty"`
	Known    []poison.Evidence `json:"known,omitempty"`
}

// PromptTry asks whether a request may send a prompt to a service.
type PromptTry struct {
	Prompt  poison.Prompt `json:"prompt"`
	Service string        `json:"service"`
	Request string        `json:"request"`
}

// PromptTryReply says so.
type PromptTryReply struct {
	Allowed bool            `json:"allowed"`
	Known   poison.Evidence `json:"known"`
}

// PromptAnswered names a prompt that a service answered.
type PromptAnswered struct {
	Prompt  poison.Prompt `json:"prompt"`
	Service string        `json:"service"`
}

// LimitNamed is what an answer of an engine's life said.
type LimitNamed struct {
	// Born is the start of that life; see directory.Life.
	Born int64          `json:"born,omitempty"`
	Word ratelimit.NamedLimit `json:"word"`
}

// MethodFollow asks a relay for the store's changes: relay.Request, relay.Reply.
const MethodFollow = "store.follow"

// Withdrawal takes back an announcement.
type Withdrawal struct {
	Announcement prefill.Announcement `json:"announcement"`
	Told         prefill.AnnounceReply         `json:"told"`
}

// Methods of routers and agents.
const (
	// MethodFence shuts out a dead holder: FenceRequest; routers answer with
	// RouterEvidence, agents with AgentEvidence.
	MethodFence = "recovery.fence"
	// MethodSettleLot settles a dead borrower's lot by evidence:
	// grant.LotReturn, Empty.
	MethodSettleLot = "recovery.settle_lot"
)

// Methods of agents.
const (
	// MethodForget ends the need for evidence: FenceRequest, Empty.
	MethodForget = "recovery.forget"
	// MethodOutcome asks what became of a request: OutcomeRequest, OutcomeReply.
	MethodOutcome = "work.outcome"
)

// Empty is an answer without content.
type Empty struct{}

// LendRequest asks for a lot of a budget.
type LendRequest struct {
	Borrower string `json:"borrower"`
	Budget   string `json:"budget"`
	// ID makes a repeat harmless.
	ID string `json:"id"`
	// Need is what the request at hand lacks, Want what would be useful.
	Need int64 `json:"need"`
	Want int64 `json:"want"`
	// Limit is the budget's tokens by the configuration, and Version the
	// configuration's; both are 0 where the lender reads it itself.
	Limit   int64 `json:"limit,omitempty"`
	Version int64 `json:"version,omitempty"`
}

// ReturnRequest settles lots of one lender.
type ReturnRequest struct {
	Lots []grant.LotReturn `json:"lots"`
}

// DisownRequest lists lots that a lender believes to be with the other side.
type DisownRequest struct {
	// Borrower is the life of the other side that asked for them.
	Borrower string       `json:"borrower"`
	Parts    []grant.Part `json:"parts"`
}

// DisownReply lists those that are not there and never will be.
type DisownReply struct {
	Parts []grant.Part `json:"parts"`
}

// BorrowedRequest asks what a borrower used of a lender that is gone.
type BorrowedRequest struct {
	// Borrower is the life that is asked.
	Borrower string `json:"borrower"`
	Lender   string `json:"lender"`
}

// LimitsRequest asks for the limits of exposure of a lender that is gone.
type LimitsRequest struct {
	// Witness is the life that is asked.
	Witness string `json:"witness"`
	Lender  string `json:"lender"`
	// Term is that of the lender's list.
	Term int64 `json:"term"`
}

// AppendRequest brings charges of one shard.
type AppendRequest struct {
	Shard   int             `json:"shard"`
	Charges []ledger.Charge `json:"charges"`
}

// AppendReply says that all of them are durable.
type AppendReply struct {
	// Floor is the shard's last segment.
	Floor int64 `json:"floor"`
}

// FenceRequest names a holder whose tokens must not be used any more.
type FenceRequest struct {
	Holder string `json:"holder"`
}

// WatermarkRequest asks about rows of one holder.
type WatermarkRequest struct {
	Holder  string   `json:"holder"`
	Budgets []string `json:"budgets"`
	// Urgent asks the holder to report first: the agent is leaving.
	Urgent bool `json:"urgent"`
}

// WatermarkReply maps each budget to the row's durable watermark.
type WatermarkReply struct {
	Through map[string]int64 `json:"through"`
}

// OutcomeRequest names the reservation of a request.
type OutcomeRequest struct {
	Reservation grant.Reservation `json:"reservation"`
}

// OutcomeReply is what an agent knows of a request.
type OutcomeReply struct {
	Known   bool `json:"known"`
	Running bool `json:"running"`
	// Used is the billed amount in tokens, once it ended.
	Used int64 `json:"used"`
}
