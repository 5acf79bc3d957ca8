------------------------------ MODULE Permits ------------------------------
(* The protocol of one permit of a limit: leases, subleases, ownership and    *)
(* its changes. Permits are independent of each other, so it suffices to      *)
(* check one: if no permit ever has two uses at the same time, there are      *)
(* never more uses than permits.                                              *)
(*                                                                            *)
(* Time is discrete. Every timer is a number of remaining ticks at the worst  *)
(* clock rate: the clock of a borrower or an endpoint falls behind by         *)
(* DriftMax over a whole lease, while the clock of the lender is exact. A     *)
(* request that was sent reaches its endpoint within DeliveryMax and then     *)
(* runs at most until its deadline.                                           *)
(*                                                                            *)
(* msgs only grows, and each message may be received at any time, repeatedly, *)
(* or never. This covers loss, delay, duplication and reordering. An outage   *)
(* of the store or a lost response of the store needs no action of its own,   *)
(* because no step is forced to happen, and the write of a row and learning   *)
(* of it are two steps.                                                       *)
EXTENDS Integers, FiniteSets

CONSTANTS
  Vms, FirstOwner,
  Borrowers,        \* the VMs that request leases
  Listed,           \* the VMs in the VM list at the start
  Lease,            \* the longest lease, in ticks
  Margin,           \* ticks that a lender waits after the end of a lease before the permit is free
  DriftMax, DeliveryMax,
  Silence,          \* ticks without a heartbeat after which an owner counts as silent
  ListLag,          \* ticks after which the VM list certainly contains a new VM
  PauseLimit,       \* an owner that was paused for this many ticks first confirms its ownership
  MaxRequests,      \* the most lease requests of one incarnation
  MaxIncarnations, MaxPauses, MaxCuts, MaxRevisions, MaxVersions,
  AllowHandover,
  ListErrs,         \* the VM list may drop a VM that is alive
  \* Guards: the protocol has all of them; with any one set to FALSE, TLC must find a violation.
  CheckLeaseEnd, CountFromRequest, LenderWaits, ReturnNamesLease, EndIsKnown,
  SubleaseBounded, WaitAfterTakeover, TakeoverNeedsProof, DropNeedsSilence,
  SilenceCoversLag, OwnerIsIncarnation, HandoverCarriesLeases, ShrinkKeepsLeases,
  ConfirmAfterPause, ConfirmByWrite, ConfirmChecksRevision, StopWhenReplaced, ClaimNeedsListing,
  DropProves

VARIABLES
  row,        \* the ownership row in the store: [owner, revision]
  state,      \* "up", "paused" or "down"
  incarnation,
  listing,    \* how the VM list shows this incarnation: unlisted, listed or dropped
  listedTicks, \* ticks for which the VM list has shown this incarnation, up to ListLag
  cut,        \* the VMs that are partitioned from the other VMs and from the platform
  pausedTicks, silentTicks,
  owns,       \* whether this VM believes that it owns the permit
  known,      \* the revision under which it owns, or owned before a long pause; else 0
  wait,       \* ticks until a new owner may use the permit
  pending,    \* the lease request without a response: [id, left]
  lease,      \* the lease that this VM holds: [id, left]
  lent,       \* the lease that this VM granted: [id, left]
  busy,       \* ticks after which this VM treats its own use of the permit as ended
  run,        \* the request that occupies the slot: [by, left], where by is its sender
  clash,      \* whether the permit ever had two uses at the same time
  requests, pauses, cuts, head, version, msgs

vars == <<row, state, incarnation, listing, listedTicks, cut, pausedTicks, silentTicks, owns,
          known, wait, pending, lease, lent, busy, run, clash, requests, pauses,
          cuts, head, version, msgs>>

None == <<>>
Idle == [id |-> None, left |-> 0]
Me(v) == <<v, incarnation[v]>>
Owner == row.owner[1]
Max(S) == CHOOSE x \in S : \A y \in S : y <= x
Min(x, y) == IF x < y THEN x ELSE y
Less(x) == IF x = 0 THEN 0 ELSE x - 1

Up(v) == state[v] = "up"
Present(v) == version[v] % 2 = 1     \* even versions of the manifest do not contain the permit
AsOwner(v) == owns[v] /\ wait[v] = 0
AsBorrower(v) == lease[v].id # None /\ (lease[v].left > 0 \/ ~CheckLeaseEnd)
Usable(v) ==
  /\ Up(v) /\ Present(v)
  /\ lent[v].left = 0
  /\ busy[v] = 0
  /\ AsOwner(v) \/ AsBorrower(v)
(* How long a use or a sublease that starts now may last, at the worst clock  *)
(* rate.                                                                      *)
Length(v) == IF AsOwner(v) THEN Lease + DriftMax ELSE Max({1, lease[v].left})

Init ==
  /\ row = [owner |-> <<FirstOwner, 1>>, revision |-> 1]
  /\ state = [v \in Vms |-> "up"]
  /\ incarnation = [v \in Vms |-> 1]
  /\ listing = [v \in Vms |-> IF v \in Listed THEN "listed" ELSE "unlisted"]
  /\ listedTicks = [v \in Vms |-> IF v \in Listed THEN ListLag ELSE 0]
  /\ cut = {}
  /\ pausedTicks = [v \in Vms |-> 0]
  /\ silentTicks = [v \in Vms |-> 0]
  /\ owns = [v \in Vms |-> v = FirstOwner]
  /\ known = [v \in Vms |-> IF v = FirstOwner THEN 1 ELSE 0]
  /\ wait = [v \in Vms |-> 0]
  /\ pending = [v \in Vms |-> Idle]
  /\ lease = [v \in Vms |-> Idle]
  /\ lent = [v \in Vms |-> Idle]
  /\ busy = [v \in Vms |-> 0]
  /\ run = [by |-> None, left |-> 0]
  /\ clash = FALSE
  /\ requests = [v \in Vms |-> 0]
  /\ pauses = 0 /\ cuts = 0 /\ head = 1
  /\ version = [v \in Vms |-> 1]
  /\ msgs = {}

-----------------------------------------------------------------------------
(* Leases. *)

RequestLease(v) ==
  /\ v \in Borrowers /\ Up(v) /\ pending[v].left = 0 /\ lease[v].id = None /\ ~owns[v]
  /\ requests[v] < MaxRequests
  /\ LET id == <<v, incarnation[v], requests[v] + 1>> IN
       /\ pending' = [pending EXCEPT ![v] = [id |-> id, left |-> Lease]]
       /\ msgs' = msgs \cup {[type |-> "request", id |-> id]}
  /\ requests' = [requests EXCEPT ![v] = @ + 1]
  /\ UNCHANGED <<row, state, incarnation, listing, listedTicks, cut, pausedTicks,
       silentTicks, owns, known, wait, lease, lent, busy, run, clash, pauses, cuts,
       head, version>>

(* The owner grants a lease, or a borrower grants a sublease that never       *)
(* outlasts its own lease.                                                    *)
Grant(u, m) ==
  /\ m.type = "request" /\ m.id[1] # u
  /\ Usable(u)
  /\ LET length == IF SubleaseBounded THEN Length(u) ELSE Lease + DriftMax
         kept == IF AsOwner(u) THEN Lease + Margin ELSE length + Margin
     IN /\ msgs' = msgs \cup {[type |-> "grant", id |-> m.id, length |-> length]}
        /\ lent' = [lent EXCEPT ![u] =
             [id |-> m.id, left |-> IF LenderWaits THEN kept ELSE Lease - 1]]
  /\ UNCHANGED <<row, state, incarnation, listing, listedTicks, cut, pausedTicks,
       silentTicks, owns, known, wait, pending, lease, busy, run, clash, requests,
       pauses, cuts, head, version>>

(* The lease of a borrower starts when it sent the request. *)
AcceptGrant(v, m) ==
  /\ m.type = "grant" /\ Up(v) /\ pending[v].left > 0 /\ pending[v].id = m.id
  /\ LET elapsed == IF CountFromRequest THEN Lease - pending[v].left ELSE 0
         left == m.length - elapsed
     IN lease' = [lease EXCEPT ![v] = IF left > 0 THEN [id |-> m.id, left |-> left] ELSE Idle]
  /\ pending' = [pending EXCEPT ![v] = Idle]
  /\ UNCHANGED <<row, state, incarnation, listing, listedTicks, cut, pausedTicks,
       silentTicks, owns, known, wait, lent, busy, run, clash, requests, pauses,
       cuts, head, version, msgs>>

ReturnLease(v) ==
  /\ Up(v) /\ lease[v].id # None /\ lease[v].left > 0 /\ lent[v].left = 0 /\ busy[v] = 0
  /\ msgs' = msgs \cup {[type |-> "return", id |-> lease[v].id]}
  /\ lease' = [lease EXCEPT ![v] = Idle]
  /\ UNCHANGED <<row, state, incarnation, listing, listedTicks, cut, pausedTicks,
       silentTicks, owns, known, wait, pending, lent, busy, run, clash, requests,
       pauses, cuts, head, version>>

TakeBack(u, m) ==
  /\ m.type = "return" /\ Up(u) /\ lent[u].left > 0
  /\ IF ReturnNamesLease THEN m.id = lent[u].id ELSE m.id[1] = lent[u].id[1]
  /\ lent' = [lent EXCEPT ![u] = Idle]
  /\ UNCHANGED <<row, state, incarnation, listing, listedTicks, cut, pausedTicks,
       silentTicks, owns, known, wait, pending, lease, busy, run, clash, requests,
       pauses, cuts, head, version, msgs>>

(* The check and the send are one step: a pause between them counts as        *)
(* delivery time.                                                             *)
Use(v) ==
  /\ Usable(v)
  /\ run' = [by |-> Me(v), left |-> Length(v) + DeliveryMax]
  /\ clash' = (clash \/ run.left > 0)
  /\ busy' = [busy EXCEPT ![v] = IF EndIsKnown THEN Length(v) + Margin ELSE 0]
  /\ UNCHANGED <<row, state, incarnation, listing, listedTicks, cut, pausedTicks,
       silentTicks, owns, known, wait, pending, lease, lent, requests, pauses, cuts,
       head, version, msgs>>

(* The request ends. The sender learns of it by the response, unless that is  *)
(* lost.                                                                      *)
EndUse(answered) ==
  /\ run.left > 0
  /\ run' = [by |-> None, left |-> 0]
  /\ LET v == run.by[1]
         told == answered /\ Up(v) /\ Me(v) = run.by
     IN busy' = IF told THEN [busy EXCEPT ![v] = 0] ELSE busy
  /\ UNCHANGED <<row, state, incarnation, listing, listedTicks, cut, pausedTicks,
       silentTicks, owns, known, wait, pending, lease, lent, clash, requests, pauses,
       cuts, head, version, msgs>>

-----------------------------------------------------------------------------
(* Ownership: one row of the store, changed by conditional writes. *)

(* An incarnation is proved dead if a later incarnation of its VM runs, or if *)
(* the VM list does not contain it and it has been silent for longer than the *)
(* list can lag, counted from when this revision of the row was first seen.   *)
(* The owner was in the list when it wrote the row, so an up-to-date list     *)
(* contains it as long as it lives.                                           *)
NotShown(o) == listing[o] # "listed" \/ listedTicks[o] < ListLag
SilenceNeeded == IF ~DropNeedsSilence THEN 0 ELSE IF SilenceCoversLag THEN Silence ELSE 1
Proof(t) ==
  LET o == Owner IN
  \/ incarnation[o] > row.owner[2]
  \/ DropProves /\ NotShown(o) /\ silentTicks[t] >= SilenceNeeded
  \/ ~TakeoverNeedsProof /\ silentTicks[t] >= Silence

(* A VM must be in the list before it may own the permit: an owner that was   *)
(* never listed could never be proved dead.                                   *)
MayOwn(t) == listing[t] = "listed" \/ ~ClaimNeedsListing

TakeOver(t) ==
  /\ MayOwn(t) /\ Up(t) /\ t \notin cut /\ row.owner # Me(t)
  /\ row.revision < MaxRevisions
  /\ Proof(t)
  /\ row' = [owner |-> Me(t), revision |-> row.revision + 1]
  /\ silentTicks' = [v \in Vms |-> 0]
  /\ UNCHANGED <<state, incarnation, listing, listedTicks, cut, pausedTicks, owns,
       known, wait, pending, lease, lent, busy, run, clash, requests, pauses, cuts,
       head, version, msgs>>

(* A stopping owner tells its successor how long the permit may still be      *)
(* leased or in use.                                                          *)
Handover(o, s) ==
  /\ AllowHandover
  /\ MayOwn(s) /\ Up(o) /\ Up(s) /\ s # o /\ o \notin cut /\ owns[o] /\ row.owner = Me(o)
  /\ row.revision < MaxRevisions
  /\ row' = [owner |-> Me(s), revision |-> row.revision + 1]
  /\ LET left == IF HandoverCarriesLeases THEN Max({wait[o], lent[o].left, busy[o]}) ELSE 0
     IN msgs' = msgs \cup {[type |-> "handover", revision |-> row.revision + 1, left |-> left]}
  /\ owns' = [owns EXCEPT ![o] = FALSE]
  /\ known' = [known EXCEPT ![o] = 0]
  /\ silentTicks' = [v \in Vms |-> 0]
  /\ UNCHANGED <<state, incarnation, listing, listedTicks, cut, pausedTicks, wait,
       pending, lease, lent, busy, run, clash, requests, pauses, cuts, head, version>>

(* A VM learns that the row names it as the owner, from the response to its   *)
(* write or later.                                                            *)
LearnOwnership(t) ==
  /\ Up(t) /\ t \notin cut /\ ~owns[t] /\ known[t] = 0
  /\ row.owner = Me(t) \/ (~OwnerIsIncarnation /\ Owner = t)
  /\ \E left \in {m.left : m \in {m \in msgs : m.type = "handover" /\ m.revision = row.revision}}
              \cup {IF WaitAfterTakeover THEN Lease + Margin ELSE 0} :
       wait' = [wait EXCEPT ![t] = left]
  /\ owns' = [owns EXCEPT ![t] = TRUE]
  /\ known' = [known EXCEPT ![t] = row.revision]
  /\ UNCHANGED <<row, state, incarnation, listing, listedTicks, cut, pausedTicks,
       silentTicks, pending, lease, lent, busy, run, clash, requests, pauses, cuts,
       head, version, msgs>>

(* An owner that resumes after a long pause continues only if the row still   *)
(* has the revision that it knew. It writes the row first, so that a takeover *)
(* based on the earlier revision fails and measures the silence again.        *)
ConfirmOwnership(v) ==
  /\ Up(v) /\ v \notin cut /\ ~owns[v] /\ known[v] > 0
  /\ LET mine == row.owner = Me(v) /\ (row.revision = known[v] \/ ~ConfirmChecksRevision)
     IN IF ~mine
        THEN known' = [known EXCEPT ![v] = 0] /\ UNCHANGED <<row, owns, silentTicks>>
        ELSE /\ owns' = [owns EXCEPT ![v] = TRUE]
             /\ IF ConfirmByWrite
                THEN /\ row.revision < MaxRevisions
                     /\ row' = [row EXCEPT !.revision = @ + 1]
                     /\ silentTicks' = [w \in Vms |-> 0]
                     /\ known' = [known EXCEPT ![v] = row.revision + 1]
                ELSE UNCHANGED <<row, silentTicks, known>>
  /\ UNCHANGED <<state, incarnation, listing, listedTicks, cut, pausedTicks, wait,
       pending, lease, lent, busy, run, clash, requests, pauses, cuts, head, version,
       msgs>>

-----------------------------------------------------------------------------
(* Faults and the environment. *)

Crash(v) ==
  /\ state[v] # "down" /\ incarnation[v] < MaxIncarnations
  /\ state' = [state EXCEPT ![v] = "down"]
  /\ owns' = [owns EXCEPT ![v] = FALSE]
  /\ known' = [known EXCEPT ![v] = 0]
  /\ wait' = [wait EXCEPT ![v] = 0]
  /\ pending' = [pending EXCEPT ![v] = Idle]
  /\ lease' = [lease EXCEPT ![v] = Idle]
  /\ lent' = [lent EXCEPT ![v] = Idle]
  /\ busy' = [busy EXCEPT ![v] = 0]
  /\ pausedTicks' = [pausedTicks EXCEPT ![v] = 0]
  /\ UNCHANGED <<row, incarnation, listing, listedTicks, cut, silentTicks, run,
       clash, requests, pauses, cuts, head, version, msgs>>

(* A VM that the list dropped never restarts under the same name. *)
Restart(v) ==
  /\ state[v] = "down" /\ listing[v] # "dropped"
  /\ state' = [state EXCEPT ![v] = "up"]
  /\ incarnation' = [incarnation EXCEPT ![v] = @ + 1]
  /\ listing' = [listing EXCEPT ![v] = "unlisted"]
  /\ listedTicks' = [listedTicks EXCEPT ![v] = 0]
  /\ requests' = [requests EXCEPT ![v] = 0]
  /\ version' = [version EXCEPT ![v] = head]
  /\ UNCHANGED <<row, cut, pausedTicks, silentTicks, owns, known, wait, pending,
       lease, lent, busy, run, clash, pauses, cuts, head, msgs>>

Pause(v) ==
  /\ Up(v) /\ pauses < MaxPauses
  /\ state' = [state EXCEPT ![v] = "paused"]
  /\ pauses' = pauses + 1
  /\ UNCHANGED <<row, incarnation, listing, listedTicks, cut, pausedTicks,
       silentTicks, owns, known, wait, pending, lease, lent, busy, run, clash,
       requests, cuts, head, version, msgs>>

Resume(v) ==
  /\ state[v] = "paused"
  /\ state' = [state EXCEPT ![v] = "up"]
  /\ LET asks == ConfirmAfterPause /\ owns[v] /\ pausedTicks[v] >= PauseLimit
     IN owns' = [owns EXCEPT ![v] = @ /\ ~asks]
  /\ pausedTicks' = [pausedTicks EXCEPT ![v] = 0]
  /\ UNCHANGED <<row, incarnation, listing, listedTicks, cut, silentTicks, known,
       wait, pending, lease, lent, busy, run, clash, requests, pauses, cuts, head,
       version, msgs>>

ListShows(v) ==
  /\ state[v] # "down" /\ listing[v] # "listed"
  /\ listing[v] = "dropped" => ListErrs
  /\ listing' = [listing EXCEPT ![v] = "listed"]
  /\ listedTicks' = [listedTicks EXCEPT ![v] = 0]
  /\ UNCHANGED <<row, state, incarnation, cut, pausedTicks, silentTicks, owns, known,
       wait, pending, lease, lent, busy, run, clash, requests, pauses, cuts, head,
       version, msgs>>

ListDrops(v) ==
  /\ listing[v] = "listed" /\ (state[v] = "down" \/ ListErrs)
  /\ listing' = [listing EXCEPT ![v] = "dropped"]
  /\ UNCHANGED <<row, state, incarnation, listedTicks, cut, pausedTicks, silentTicks,
       owns, known, wait, pending, lease, lent, busy, run, clash, requests, pauses,
       cuts, head, version, msgs>>

Cut(C) ==
  /\ cut = {} /\ cuts < MaxCuts
  /\ cut' = C /\ cuts' = cuts + 1
  /\ UNCHANGED <<row, state, incarnation, listing, listedTicks, pausedTicks,
       silentTicks, owns, known, wait, pending, lease, lent, busy, run, clash,
       requests, pauses, head, version, msgs>>

Heal ==
  /\ cut # {}
  /\ cut' = {}
  /\ UNCHANGED <<row, state, incarnation, listing, listedTicks, pausedTicks,
       silentTicks, owns, known, wait, pending, lease, lent, busy, run, clash,
       requests, pauses, cuts, head, version, msgs>>

AcceptManifest ==
  /\ head < MaxVersions
  /\ head' = head + 1
  /\ UNCHANGED <<row, state, incarnation, listing, listedTicks, cut, pausedTicks,
       silentTicks, owns, known, wait, pending, lease, lent, busy, run, clash,
       requests, pauses, cuts, version, msgs>>

(* A VM remembers the leases of a permit that the manifest removed until they *)
(* end.                                                                       *)
ApplyManifest(v) ==
  /\ Up(v) /\ version[v] < head
  /\ version' = [version EXCEPT ![v] = @ + 1]
  /\ lent' = IF ShrinkKeepsLeases THEN lent ELSE [lent EXCEPT ![v] = Idle]
  /\ UNCHANGED <<row, state, incarnation, listing, listedTicks, cut, pausedTicks,
       silentTicks, owns, known, wait, pending, lease, busy, run, clash, requests,
       pauses, cuts, head, msgs>>

Timer(t, keep) == [t EXCEPT !.left = Less(@), !.id = IF t.left <= 1 /\ ~keep THEN None ELSE @]
Hears(v) == Up(Owner) /\ (v \in cut <=> Owner \in cut)
(* Heartbeats carry the revision of the ownership row and its owner. *)
Replaced(v) ==
  /\ owns[v] /\ Up(v) /\ Hears(v)
  /\ known[v] < known[Owner]

Tick ==
  /\ wait' = [v \in Vms |-> Less(wait[v])]
  /\ busy' = [v \in Vms |-> Less(busy[v])]
  /\ pending' = [v \in Vms |-> Timer(pending[v], FALSE)]
  /\ lease' = [v \in Vms |-> Timer(lease[v], ~CheckLeaseEnd)]
  /\ lent' = [v \in Vms |-> Timer(lent[v], FALSE)]
  /\ run' = [by |-> IF run.left <= 1 THEN None ELSE run.by, left |-> Less(run.left)]
  /\ silentTicks' = [v \in Vms |-> IF Hears(v) THEN 0 ELSE Min(Silence, silentTicks[v] + 1)]
  /\ pausedTicks' = [v \in Vms |->
       IF state[v] = "paused" THEN Min(PauseLimit, pausedTicks[v] + 1) ELSE 0]
  /\ listedTicks' = [v \in Vms |->
       IF listing[v] = "listed" THEN Min(ListLag, listedTicks[v] + 1) ELSE listedTicks[v]]
  /\ owns' = [v \in Vms |-> owns[v] /\ ~(StopWhenReplaced /\ Replaced(v))]
  /\ known' = [v \in Vms |-> IF StopWhenReplaced /\ Replaced(v) THEN 0 ELSE known[v]]
  /\ UNCHANGED <<row, state, incarnation, listing, cut, clash, requests, pauses,
       cuts, head, version, msgs>>

-----------------------------------------------------------------------------
Protocol(v) ==
  \/ RequestLease(v) \/ ReturnLease(v) \/ Use(v)
  \/ TakeOver(v) \/ LearnOwnership(v) \/ ConfirmOwnership(v)
  \/ ApplyManifest(v)
  \/ \E m \in msgs : Grant(v, m) \/ AcceptGrant(v, m) \/ TakeBack(v, m)
  \/ \E s \in Vms : Handover(v, s)

World(v) == Crash(v) \/ Restart(v) \/ Pause(v) \/ Resume(v) \/ ListShows(v) \/ ListDrops(v) \/ Cut({v})

Next ==
  \/ Tick \/ Heal \/ AcceptManifest
  \/ \E answered \in BOOLEAN : EndUse(answered)
  \/ \E v \in Vms : Protocol(v) \/ World(v)

(* Fairness for liveness: partitions heal, pauses end, the store responds,    *)
(* the VM list catches up, and the last manifest contains the permit.         *)
Fairness ==
  /\ WF_vars(Tick) /\ WF_vars(Heal)
  /\ \A v \in Vms :
       /\ WF_vars(TakeOver(v)) /\ WF_vars(LearnOwnership(v)) /\ WF_vars(ConfirmOwnership(v))
       /\ WF_vars(Resume(v)) /\ WF_vars(ListShows(v)) /\ WF_vars(ListDrops(v))
       /\ WF_vars(ApplyManifest(v))

Spec == Init /\ [][Next]_vars /\ Fairness

-----------------------------------------------------------------------------
(* The permit never has two uses at the same time. *)
OneUse == ~clash

(* At most one VM may use the permit, and none while a use may still be       *)
(* running.                                                                   *)
OneUser ==
  /\ Cardinality({v \in Vms : Usable(v)}) <= 1
  /\ run.left > 0 => \A v \in Vms : ~Usable(v)

(* As long as some VM is up, the permit becomes usable again and again. *)
Live == \E v \in Vms : Up(v)
UsableAgain == []<>(Live => \E v \in Vms : Usable(v) \/ busy[v] > 0)
=============================================================================
