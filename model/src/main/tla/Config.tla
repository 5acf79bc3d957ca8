------------------------------- MODULE Config -------------------------------
(* Acceptance of manifests by a conditional transaction on one row, and their *)
(* distribution to the VMs. Responses of the store may be lost. Announcements *)
(* between VMs may be delayed, duplicated or lost, because they stay in       *)
(* announced for ever and no step is forced to happen.                        *)
EXTENDS Naturals, FiniteSets, Sequences

CONSTANTS
  Operators, Vms, MaxVersions, MaxIncarnations,
  \* Guards: the protocol has all of them; with any one set to FALSE, TLC must find a violation.
  ConditionalWrite, RowMustBeAbsent, ConflictReadsSubmission, NeverGoesBack

VARIABLES
  history,     \* the accepted submission ids, indexed by version
  rows,        \* the ids of the submissions that have a row in the store
  late,        \* transactions whose response was lost and that may still take effect
  operator,    \* [state, base]: each operator's view of its submission
  inForce,     \* [version, id] of the active manifest of each VM
  incarnation,
  announced,   \* the announcements sent so far; any of them may arrive at any time
  reverted     \* some incarnation replaced its manifest by a lower version

vars == <<history, rows, late, operator, inForce, incarnation, announced, reverted>>
Nothing == [version |-> 0, id |-> 0]

Init ==
  /\ history = <<>> /\ rows = {} /\ late = {}
  /\ operator = [o \in Operators |-> [state |-> "idle", base |-> 0]]
  /\ inForce = [v \in Vms |-> Nothing]
  /\ incarnation = [v \in Vms |-> 1]
  /\ announced = {} /\ reverted = FALSE

ReadHead(o) ==
  /\ operator[o].state \in {"idle", "retry", "conflict"}
  /\ operator' = [operator EXCEPT ![o] = [state |-> "ready", base |-> Len(history)]]
  /\ UNCHANGED <<history, rows, late, inForce, incarnation, announced, reverted>>

(* One transaction advances the head from base to base + 1 and inserts the    *)
(* submission row, which must be absent.                                      *)
Holds(o, base) ==
  /\ Len(history) = base \/ ~ConditionalWrite
  /\ o \notin rows \/ ~RowMustBeAbsent
Apply(o, base) ==
  /\ history' = SubSeq(history, 1, base) \o <<o>>
  /\ rows' = rows \cup {o}

Submit(o) ==
  /\ operator[o].state = "ready" /\ operator[o].base < MaxVersions
  /\ IF Holds(o, operator[o].base)
     THEN /\ Apply(o, operator[o].base)
          /\ operator' = [operator EXCEPT ![o].state = "done"]
     ELSE /\ operator' = [operator EXCEPT ![o].state =
               IF ConflictReadsSubmission THEN "unknown" ELSE "conflict"]
          /\ UNCHANGED <<history, rows>>
  /\ UNCHANGED <<late, inForce, incarnation, announced, reverted>>

(* The response is lost: the transaction takes effect now, later or never. *)
LoseAnswer(o) ==
  /\ operator[o].state = "ready" /\ operator[o].base < MaxVersions
  /\ late' = late \cup {<<o, operator[o].base>>}
  /\ operator' = [operator EXCEPT ![o].state = "unknown"]
  /\ UNCHANGED <<history, rows, inForce, incarnation, announced, reverted>>

TakeEffect(o, base) ==
  /\ late' = late \ {<<o, base>>}
  /\ IF Holds(o, base) THEN Apply(o, base) ELSE UNCHANGED <<history, rows>>
  /\ UNCHANGED <<operator, inForce, incarnation, announced, reverted>>

(* After a lost response, the operator reads the submission row. If the row   *)
(* is absent and the head has not moved, the operator sends the same          *)
(* submission again. A conflict is reported only if the row is absent and the *)
(* head has moved.                                                            *)
Settle(o) ==
  /\ operator[o].state = "unknown"
  /\ operator' = [operator EXCEPT ![o].state =
       IF o \in rows THEN "done"
       ELSE IF Len(history) > operator[o].base THEN "conflict" ELSE "retry"]
  /\ UNCHANGED <<history, rows, late, inForce, incarnation, announced, reverted>>

Take(v, head) ==
  /\ head.version > inForce[v].version \/ ~NeverGoesBack
  /\ inForce' = [inForce EXCEPT ![v] = head]
  /\ reverted' = (reverted \/ head.version < inForce[v].version)

ReadStore(v) ==
  /\ Len(history) > 0
  /\ Take(v, [version |-> Len(history), id |-> history[Len(history)]])
  /\ UNCHANGED <<history, rows, late, operator, incarnation, announced>>

Announce(v) ==
  /\ inForce[v] # Nothing
  /\ announced' = announced \cup {inForce[v]}
  /\ UNCHANGED <<history, rows, late, operator, inForce, incarnation, reverted>>

Hear(v, head) ==
  /\ head # inForce[v]
  /\ Take(v, head)
  /\ UNCHANGED <<history, rows, late, operator, incarnation, announced>>

Restart(v) ==
  /\ incarnation[v] < MaxIncarnations
  /\ incarnation' = [incarnation EXCEPT ![v] = @ + 1]
  /\ inForce' = [inForce EXCEPT ![v] = Nothing]
  /\ UNCHANGED <<history, rows, late, operator, announced, reverted>>

Next ==
  \/ \E o \in Operators : ReadHead(o) \/ Submit(o) \/ LoseAnswer(o) \/ Settle(o)
  \/ \E write \in late : TakeEffect(write[1], write[2])
  \/ \E v \in Vms : ReadStore(v) \/ Announce(v) \/ Restart(v)
  \/ \E v \in Vms : \E head \in announced : Hear(v, head)

NeverReverts == ~reverted
OnlyAccepted ==
  \A v \in Vms :
    LET head == inForce[v] IN
      \/ head = Nothing
      \/ head.version <= Len(history) /\ history[head.version] = head.id
(* An operator that was told of a conflict has no applied submission, and one *)
(* that was told of success has one.                                          *)
ToldTheTruth ==
  \A o \in Operators :
    /\ operator[o].state = "conflict" => o \notin rows
    /\ operator[o].state = "done" => o \in rows
AppliedOnce ==
  \A o \in Operators : Cardinality({n \in 1..Len(history) : history[n] = o}) <= 1
=============================================================================
