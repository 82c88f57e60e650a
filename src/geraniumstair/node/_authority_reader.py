"""Builds the function that reads this node's authority over a shard."""

from geraniumstair import configuration
from geraniumstair import dispatch
from geraniumstair import membership
from geraniumstair._generated import settings as settings_models


def build_authority_reader(
    settings: settings_models.Settings, members: membership.Membership
) -> dispatch.AuthorityReader:
    """Returns the function that the dispatcher calls before each dispatch.

    Args:
        settings: With `shard_routing: local`, this node has full authority
            over every shard.
        members: Determines the authority otherwise, by the clock at the time
            of each call.
    """

    def read_members_authority(
        key: configuration.ShardKey, provisional: bool
    ) -> membership.Authority:
        authority = members.authority(key)
        if authority is membership.Authority.NONE and provisional:
            return members.provisional_authority(key)
        return authority

    def read_full_authority(
        key: configuration.ShardKey, provisional: bool
    ) -> membership.Authority:
        del key, provisional
        return membership.Authority.FULL

    return (
        read_full_authority
        if settings.shard_routing == "local"
        else read_members_authority
    )
