#include "witness_table.hpp"

#include <algorithm>
#include <tuple>

namespace gentianramp {

namespace {

/// Raises each value in @p known to a larger one in @p facts; true when @p known changed.
bool mergeFacts(proto::FolderFacts &known, const proto::FolderFacts &facts)
{
    bool changed = false;
    if (facts.term() > known.term()) {
        known.set_term(facts.term());
        changed = true;
    }
    if (std::tuple(facts.match_term(), facts.match_index())
        > std::tuple(known.match_term(), known.match_index())) {
        known.set_match_term(facts.match_term());
        known.set_match_index(facts.match_index());
        changed = true;
    }
    if (facts.committed() > known.committed()) {
        known.set_committed(facts.committed());
        changed = true;
    }
    return changed;
}

bool exceeds(const proto::FolderFacts &facts, const StartState &start)
{
    return facts.term() > start.term
        || (facts.match_term() == start.term && facts.match_index() > start.lastIndex)
        || facts.committed() > start.lastIndex;
}

} // namespace

bool provesRollback(const proto::Witness &witness, const VoterIncarnation &own,
                    const StartState &start)
{
    if (witness.identity() != own.identity)
        return false;
    if (exceeds(witness.before(), start))
        return true;
    if (witness.session() == own.session)
        return false;
    return witness.boot() >= own.boot || exceeds(witness.life(), start);
}

void WitnessTable::recordIncarnation(const std::string &instance,
                                     const VoterIncarnation &incarnation)
{
    proto::Witness witness;
    witness.set_instance(instance);
    witness.set_identity(incarnation.identity);
    witness.set_boot(incarnation.boot);
    witness.set_session(incarnation.session);
    witness.mutable_life()->set_term(incarnation.term);
    merge(witness);
}

void WitnessTable::recordAcknowledgement(const std::string &instance,
                                         const VoterIncarnation &incarnation, std::uint64_t term,
                                         std::uint64_t index, std::uint64_t committed)
{
    const auto found = m_witnesses.find(instance);
    if (found == m_witnesses.end() || found->second.identity() != incarnation.identity
        || found->second.session() != incarnation.session)
        return;
    proto::FolderFacts facts;
    facts.set_match_term(term);
    facts.set_match_index(index);
    facts.set_committed(committed);
    mergeFacts(*found->second.mutable_life(), facts);
}

bool WitnessTable::merge(const proto::Witness &witness)
{
    proto::Witness &known = m_witnesses[witness.instance()];
    if (known.identity() != witness.identity()) {
        known = witness;
        return true;
    }
    bool changed = mergeFacts(*known.mutable_before(), witness.before());
    if (witness.session() == known.session())
        return mergeFacts(*known.mutable_life(), witness.life()) || changed;
    if (witness.boot() <= known.boot())
        return mergeFacts(*known.mutable_before(), witness.life()) || changed;
    mergeFacts(*known.mutable_before(), known.life());
    known.set_boot(witness.boot());
    known.set_session(witness.session());
    *known.mutable_life() = witness.life();
    return true;
}

void WitnessTable::retain(const IdentityMap &admitted)
{
    std::erase_if(m_witnesses, [&](const auto &item) {
        const auto found = admitted.find(item.first);
        return found == admitted.end() || found->second != item.second.identity();
    });
}

bool WitnessTable::showsRollback(const std::string &instance, const VoterIncarnation &incarnation,
                                 std::uint64_t lastIndex) const
{
    const auto found = m_witnesses.find(instance);
    if (found == m_witnesses.end())
        return false;
    return provesRollback(found->second, incarnation,
                          {.term = incarnation.term, .lastIndex = lastIndex});
}

std::vector<proto::Witness> WitnessTable::all() const
{
    std::vector<proto::Witness> witnesses;
    witnesses.reserve(m_witnesses.size());
    for (const auto &[instance, witness] : m_witnesses)
        witnesses.push_back(witness);
    return witnesses;
}

} // namespace gentianramp
