package balance

// Kind says whether a tariff's lookups may run more than once.
type Kind uint8

const (
	Replayable Kind = iota // may run again
	Referenced             // carries a mark by which a group of backends knows a repeat
	SingleUse              // must never run twice
)

// Scope is the group of backends that drops a referenced lookup's repeats.
type Scope uint8

const (
	ScopeAll Scope = iota
	ScopeZone
	ScopePod
)

// Outcome says how a leg ended.
type Outcome uint8

const (
	Honoured  Outcome = iota
	Fault             // the backend returned an error; it may have run
	NoRoom            // turned away unseen; it never ran
	TooSlow           // no answer in time; it may have run, or be running
	NoRoute           // no connection in time; it never ran
	Cut               // the connection dropped; it may have run
	CalledOff         // we stopped waiting; it may have run
	NeverSent         // it never left; it never ran
	Unfit             // the backend found the lookup itself at fault; it may have run
)

// String is its name in logs.
func (o Outcome) String() string {
	return [...]string{"honoured", "fault", "no_room", "too_slow", "no_route", "cut", "called_off", "never_sent", "unfit"}[o]
}

// NeverRan says whether an outcome proves that the leg never ran.
func (o Outcome) NeverRan() bool { return o == NoRoom || o == NoRoute || o == NeverSent }

// Answer is a final answer this proxy gives by itself. An honoured lookup
// needs none: the first honoured leg is passed on to the client as it comes.
type Answer uint8

const (
	NoAnswer  Answer = iota
	Dismissed        // turned away; trying again is harmless
	Forfeited        // failed; nothing is promised about its effect
)

// Deployment is what a proxy is told when it starts. Times are in seconds.
type Deployment struct {
	Seed         uint64     `json:"Seed"`
	Proxies      int        `json:"Proxies"`    // proxies in the bank, this one included
	Self         int        `json:"Self"`       // this one's number among them, from 0
	Zone         int        `json:"Zone"`       // where this one stands; -1: not told
	Apart        bool       `json:"Apart"`      // each client process has a proxy of its own, so their traffic differs widely
	Peers        bool       `json:"Peers"`      // proxies may send one another notes
	Probes       bool       `json:"Probes"`     // backends may be asked for their load
	ConnPrice    float64    `json:"ConnPrice"`  // of the service, for a hundred connections open to each backend
	OpenPrice    float64    `json:"OpenPrice"`  // and for opening one a lookup
	IdleFor      float64    `json:"IdleFor"`    // a backend closes a connection idle for this long, or earlier; 0: not told
	PeerPrice    float64    `json:"PeerPrice"`  // of the service, for one full note a lookup
	ProbePrice   float64    `json:"ProbePrice"` // and for one probe a lookup
	Tariffs      []Tariff   `json:"Tariffs"`
	Customers    []Customer `json:"Customers"`
	ValueByWork  bool       `json:"ValueByWork"`  // a lookup's value is its tariff's for each unit of its work
	MaxLegs      int        `json:"MaxLegs"`      // legs a lookup may have
	CallOff      bool       `json:"CallOff"`      // legs may be called off
	Beside       bool       `json:"Beside"`       // a lookup's legs may be out beside one another
	MaxAdvice    float64    `json:"MaxAdvice"`    // the longest advice when to come back that a client keeps to; 0: none
	WarmKeys     bool       `json:"WarmKeys"`     // a backend that served a key lately serves it again with less work
	GoneAdvises  bool       `json:"GoneAdvises"`  // only a drain binds: what the list calls gone, or leaves out, without one may still be sent to
	AsksList     bool       `json:"AsksList"`     // the list of backends comes only after asking
	AskEvery     float64    `json:"AskEvery"`     // unsubscribed for this long, the proxy counts as told
	ColdShare    float64    `json:"ColdShare"`    // a backend starts at this share of its capacity or more
	ColdFor      float64    `json:"ColdFor"`      // and is warm after this long
	FallMultiple float64    `json:"FallMultiple"` // sent more than this many times what it can do
	FallFor      float64    `json:"FallFor"`      // for this long, a cold backend falls over
}

// Tariff is a class of lookups.
type Tariff struct {
	Name     string  `json:"Name"`
	Kind     Kind    `json:"Kind"`
	Scope    Scope   `json:"Scope"`    // for Referenced
	Window   float64 `json:"Window"`   // for Referenced: how long repeats are known
	Due      float64 `json:"Due"`      // an answer within this time earns the full value; 0: none set
	HardStop float64 `json:"HardStop"` // the client waits no longer
	Value    float64 `json:"Value"`
}

// Customer is a tenant with a share of the service.
type Customer struct {
	Name  string  `json:"Name"`
	Quota float64 `json:"Quota"` // lookups a second, over all proxies, within its share; told on, not weighed; 0: no limit
}

// State is what the list says of a backend.
type State uint8

const (
	Ready State = iota
	Draining
	Gone
)

// Backend is an entry of the list of backends.
type Backend struct {
	Index   int    // small number, the same for this backend as long as the proxy runs
	Mark    uint64 // hash of its name, alike at every proxy
	Zone    int
	Pod     int
	Model   int // its machine's, a small number
	State   State
	Size    float64 // roughly its cores, as the list tells; 0: not told
	UpSince float64 // when it last started; 0: long ago
}

// Arrival is a lookup as it reaches the proxy.
type Arrival struct {
	Ref      int // the caller's number for it, handed back in each Step
	Tariff   int
	Customer int     // -1: none
	Key      uint64  // hash of its subject, alike at every proxy; 0: none
	HardStop float64 // the clock time at which the client gives up
	Work     float64 // expected work, roughly, in seconds; 0: not told
	Again    bool    // the client is known to be trying again
	Flows    bool    // its body is on its way yet: its leg is at work from Whole on
}

// Step is one thing to do for a lookup. Fields at rest mean nothing to do.
type Step struct {
	Ref     int
	Send    bool    // send a further leg
	Backend int     // to this backend
	Until   float64 // abandoned at this clock time
	CallOff int     // call off this leg, counted from 1
	Answer  Answer
	Advice  float64 // with Dismissed: come back after this long; 0: no advice
	Wake    float64 // call the lookup's Wake at this clock time
}

// Report is what a backend tells of its load; -1 for what it does not tell.
type Report struct {
	Held float64 // lookups it holds
	Busy float64 // share of its cores in use
}

// Note is what one proxy tells another: hearsay, which may be lost, late or wrong.
type Note struct {
	Rate   float64 // lookups a second that its sender takes
	Sights []Sight // the newest first
}

// Sight is the last that was seen of a backend by any proxy: what a leg of a tariff was worth there, or its load.
type Sight struct {
	Mark   uint32  // the lower half of Backend.Mark
	Tariff int     // -1: a report of load
	Age    float64 // s, at the time of telling
	Value  float64 // the leg's payoff, 0 where it failed, or the load
}

// Orders is what to do after a call. It is valid until the next call.
type Orders struct {
	Probe     []int   // ask these backends for their load
	HangUp    []int   // close the idle connections to these
	Tell      *Note   // send this to a peer
	Peer      int     // of this number
	Steps     []Step  // in this order
	Subscribe bool    // ask the list of backends for its changes from now on
	Wake      float64 // call the balancer's Wake at this clock time; 0: no need
}
