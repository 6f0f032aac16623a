package demo

// rulesText is the text of the rules with the services and routes of the deployment.
const rulesText = `service ledger slots=10 conns=250 cold=2 warm=40 queue=5ms    # Operations: ten workers each
service filing slots=10 conns=250 cold=2 warm=40 queue=20ms   # Operations: a claim waits rather than fails
service audit slots=10 conns=250 cold=1 warm=10 queue=50ms    # Operations: an export that starts cold is slow

route GET /lines/* service=ledger idempotent=yes time=2s rank=3    # Project officers: look up budget lines
route POST /claims service=filing idempotent=no time=5s rank=1     # Donor liaison: a claim posted twice doubles a charge
route GET /exports/* service=audit idempotent=yes time=30s rank=2  # Auditors: pull whole ledgers before a review

budget probe=5 look=2 retry=10% hedge=2%   # Operations: keep the cost of measuring and retrying small
`

// evacuationRule is the rule that takes the data centre patan out of service.
const evacuationRule = `out centre=patan   # Operations: the power of the data centre is switched over
`

// evacuatedCentre is the data centre that the demo takes out of service and puts back.
const evacuatedCentre = "patan"

// instanceSpec describes an instance of the deployment.
type instanceSpec struct {
	name    string
	centre  string
	service string
}

// instanceSpecs lists the instances of the deployment: services of 6, 4 and 3 backend
// servers in three data centres.
var instanceSpecs = []instanceSpec{
	{"ledger-patan-1", evacuatedCentre, "ledger"},
	{"ledger-patan-2", evacuatedCentre, "ledger"},
	{"ledger-kirtipur-1", "kirtipur", "ledger"},
	{"ledger-kirtipur-2", "kirtipur", "ledger"},
	{"ledger-bhaktapur-1", "bhaktapur", "ledger"},
	{"ledger-bhaktapur-2", "bhaktapur", "ledger"},
	{"filing-patan-1", evacuatedCentre, "filing"},
	{"filing-patan-2", evacuatedCentre, "filing"},
	{"filing-kirtipur-1", "kirtipur", "filing"},
	{"filing-bhaktapur-1", "bhaktapur", "filing"},
	{"audit-patan-1", evacuatedCentre, "audit"},
	{"audit-kirtipur-1", "kirtipur", "audit"},
	{"audit-bhaktapur-1", "bhaktapur", "audit"},
}

// coldStart describes the behavior of a backend server in a cold start.
type coldStart struct {
	// slots is the number of requests that it can run at once.
	slots int
	// warm is the number of completed requests that end the cold start.
	warm int
}

// coldStarts holds the cold starts of the backend servers of each service. The
// values match those in rulesText.
var coldStarts = map[string]coldStart{
	"ledger": {slots: 2, warm: 40},
	"filing": {slots: 2, warm: 40},
	"audit":  {slots: 1, warm: 10},
}
