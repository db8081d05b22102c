# Bash completion for guavakeel(8).

# Prints the options of a command.
_guavakeel_options() {
	case $1 in
	check-config) echo "--declared --against --json" ;;
	counters | drain | programs | status)
		echo "--address --port --key-file --json" ;;
	config)
		echo "--log-address --log-port --settings --json" ;;
	esac
}

_guavakeel() {
	local word=${COMP_WORDS[COMP_CWORD]}
	local command=${COMP_WORDS[1]}
	local words

	COMPREPLY=()
	case ${COMP_WORDS[COMP_CWORD - 1]} in
	--settings | --key-file | --declared | --against | check-config | daemon | patch | import)
		mapfile -t COMPREPLY < <(compgen -f -- "$word")
		return
		;;
	esac
	if [ "$COMP_CWORD" = 1 ]; then
		words="check-config config counters daemon drain experiment
		    programs status --help --version"
	elif [ "$command" = config ] && [ "$COMP_CWORD" = 2 ]; then
		words="diff export history import patch revert-to show --help"
	else
		words="$(_guavakeel_options "$command") --help"
		case ${COMP_WORDS[2]} in
		patch | revert-to) words="$words --base --operator --comment --id" ;;
		show) words="$words --version" ;;
		esac
	fi
	mapfile -t COMPREPLY < <(compgen -W "$words" -- "$word")
}

complete -F _guavakeel guavakeel
